Feature: Members agree on which members are alive

  Scenario Outline: a host is <state> after <fault> and alive after <repair>, datagram loss ratio <loss>
    Given 3 data centre(s) with 4 hosts each and a datagram loss ratio of <loss>
    When the event "<fault>" occurs on host "10.0.2.1"
    Then all other processes consider host "10.0.2.1" <state> within <detected> s
    When the event "<repair>" occurs on host "10.0.2.1"
    Then all processes consider all others alive within 5 s

    Examples:
      | fault             | loss | state | detected | repair           |
      | crash             | 0.0  | DEAD  | 10       | restart          |
      | crash             | 0.1  | DEAD  | 15       | restart          |
      | crash             | 0.0  | DEAD  | 10       | host replacement |
      | pause             | 0.0  | DEAD  | 10       | resumption       |
      | pause             | 0.1  | DEAD  | 15       | resumption       |
      | partition         | 0.0  | DEAD  | 10       | network repair   |
      | inbound partition | 0.0  | DEAD  | 15       | network repair   |
      | graceful shutdown | 0.0  | DEAD  | 1        | host replacement |

  Scenario Outline: all processes are alive after one of <zones> data centres was partitioned <direction>
    Given <zones> data centre(s) with <hosts> hosts each and a datagram loss ratio of 0.0
    When data centre 1 is partitioned from the others for 60 s, <direction>
    And the event "network repair" occurs on host "10.0.1.1"
    Then all processes consider all others alive within 5 s

    Examples:
      | zones | hosts | direction          |
      | 3     | 4     | in both directions |
      | 3     | 4     | in one direction   |
      | 2     | 8     | in both directions |

  Scenario: a process that restarts without seeds is found by the others
    Given 3 data centre(s) with 4 hosts each and a datagram loss ratio of 0.0
    When the event "crash" occurs on host "10.0.2.1"
    And the event "restart without seeds" occurs on host "10.0.2.1"
    Then all processes consider all others alive within 5 s

  Scenario: a host with a flapping network is alive once the network is stable
    Given 3 data centre(s) with 4 hosts each and a datagram loss ratio of 0.0
    When the network of host "10.0.2.1" flaps every 3 s for 60 s
    Then all processes consider all others alive within 5 s

  Scenario Outline: a datagram <fault> is counted and ignored
    Given 1 data centre(s) with 2 hosts each and a datagram loss ratio of 0.0
    When a process receives a datagram <fault>
    Then the datagram is counted as ignored because of "<reason>"
    And all processes consider all others alive within 1 s

    Examples:
      | fault                          | reason  |
      | of random bytes                | format  |
      | with a corrupted byte          | check   |
      | authenticated with another key | check   |
      | sent from another address      | sender  |
      | with unexpected content        | content |
      | over the size limit            | format  |

  Scenario Outline: a fact reaches all processes and expires, datagram loss ratio <loss>
    Given 3 data centre(s) with 4 hosts each and a datagram loss ratio of <loss>
    When one process publishes a fact that is valid for <valid> s
    Then all processes know the fact within <limit> s
    And no process knows the fact after <expired> s

    Examples:
      | loss | valid | limit | expired |
      | 0.0  | 5     | 1     | 6       |
      | 0.3  | 8     | 5     | 9       |

  Scenario Outline: traffic stays limited when a fraction of <fraction> of <hosts> hosts crashes
    Given 2 data centre(s) with <hosts> hosts each and a datagram loss ratio of 0.0
    When a fraction of <fraction> of the hosts crashes at once
    Then all processes consider only the remaining ones alive within 30 s
    And each process sends at most 30 datagrams and 14000 bytes per second, in datagrams within the size limit

    Examples:
      | hosts | fraction |
      | 10    | 0.1      |
      | 20    | 0.5      |
