Feature: Members agree on who takes part
  Scenario Outline: membership, <fault> with <loss> of the datagrams lost
    Given membership of 3 zones with 4 hosts each that loses <loss> of its datagrams
    When membership meets "<fault>" at host "10.0.2.1"
    Then membership holds "10.0.2.1" as <during> within <detected> s
    When membership meets "<repair>" at host "10.0.2.1"
    Then membership holds all as alive within 5 s

    Examples:
      | fault          | loss | during | detected | repair            |
      | crash          | 0.0  | DEAD   | 10       | restart           |
      | crash          | 0.1  | DEAD   | 15       | restart           |
      | crash          | 0.0  | DEAD   | 10       | replaced host     |
      | pause          | 0.0  | DEAD   | 10       | wake-up           |
      | pause          | 0.1  | DEAD   | 15       | wake-up           |
      | cut off        | 0.0  | DEAD   | 10       | healing           |
      | cut off inward | 0.0  | DEAD   | 15       | healing           |
      | planned stop   | 0.0  | DEAD   | 1        | replaced host     |

  Scenario Outline: membership after a partition between zones, <direction>
    Given membership of <zones> zones with <hosts> hosts each that loses 0.0 of its datagrams
    When membership is split around zone 1 for 60 s, <direction>
    And membership meets "healing" at host "10.0.1.1"
    Then membership holds all as alive within 5 s

    Examples:
      | zones | hosts | direction |
      | 3     | 4     | both ways |
      | 3     | 4     | one way   |
      | 2     | 8     | both ways |

  Scenario: membership is found by a process that knows no seed
    Given membership of 3 zones with 4 hosts each that loses 0.0 of its datagrams
    When membership meets "crash" at host "10.0.2.1"
    And membership meets "restart without seeds" at host "10.0.2.1"
    Then membership holds all as alive within 5 s

  Scenario: membership of a host with a flapping network
    Given membership of 3 zones with 4 hosts each that loses 0.0 of its datagrams
    When membership of host "10.0.2.1" flaps every 3 s for 60 s
    Then membership holds all as alive within 5 s

  Scenario Outline: membership ignores datagrams that are <fault>
    Given membership of 1 zones with 2 hosts each that loses 0.0 of its datagrams
    When membership gets a datagram that is <fault>
    Then membership has counted it as "<counted>"
    And membership holds all as alive within 1 s

    Examples:
      | fault             | counted |
      | random bytes      | format  |
      | damaged           | check   |
      | under another key | check   |
      | in another's name | sender  |
      | of wrong content  | content |
      | too long          | format  |

  Scenario Outline: membership carries facts, told by one while <loss> of the datagrams are lost
    Given membership of 3 zones with 4 hosts each that loses <loss> of its datagrams
    When membership is told by one process a fact that holds for <kept> s
    Then membership knows the fact everywhere within <limit> s
    And membership knows the fact nowhere after <gone> s

    Examples:
      | loss | kept | limit | gone |
      | 0.0  | 5    | 1     | 6    |
      | 0.3  | 8    | 5     | 9    |

  Scenario Outline: membership keeps to its limits when <share> of <hosts> hosts crash at once
    Given membership of 2 zones with <hosts> hosts each that loses 0.0 of its datagrams
    When membership loses <share> of its hosts at once
    Then membership holds only the others as alive within 30 s
    And membership sent at most 30 datagrams and 14000 bytes a second per process

    Examples:
      | hosts | share |
      | 10    | 0.1   |
      | 20    | 0.5   |
