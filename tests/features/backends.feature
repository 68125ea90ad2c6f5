Feature: Faults of backend servers cost little and spread nowhere

  Scenario Outline: a fault of one or more replicas while queries run
    Given back ends of <servers> replicas that are warm
    When at the back ends "<fault>" happens while queries run
    Then at least <share> of the queries at the back ends are answered whole
    And the back ends lost at most <lost> servers and had at most <overloads> overloaded moments
    And the back ends ran no request that is not repeatable twice
    And the extra load at the back ends was at most 0.05 and no refusal was false

    Examples:
      | servers | fault                     | share | lost | overloads |
      | 3       | nothing                   | 1.0   | 0    | 0         |
      | 3       | one is absent             | 0.99  | 0    | 0         |
      | 3       | one drains                | 1.0   | 0    | 0         |
      | 3       | one restarts              | 0.95  | 0    | 0         |
      | 3       | one turns cold            | 0.95  | 0    | 1         |
      | 3       | all turn cold             | 0.5   | 0    | 3         |
      | 3       | one sheds half            | 0.9   | 0    | 0         |
      | 3       | all shed all              | 0.0   | 0    | 0         |
      | 3       | all are absent            | 0.0   | 0    | 0         |
      | 3       | reports are stuck         | 1.0   | 0    | 0         |
      | 3       | reports are zero          | 1.0   | 0    | 0         |
      | 3       | reports are absurd        | 1.0   | 0    | 0         |
      | 3       | reports are absent        | 1.0   | 0    | 0         |
      | 3       | a request crashes servers | 0.9   | 2    | 2         |
      | 6       | a request crashes servers | 0.9   | 2    | 2         |
      | 6       | a partition               | 0.9   | 0    | 6         |

  Scenario Outline: no new work after the first sign that a server leaves
    Given back ends of 3 replicas that are warm
    When at the back ends one server leaves by "<sign>"
    Then at most <late> calls reach it afterwards

    Examples:
      | sign          | late |
      | configuration | 0    |
      | zone out      | 0    |
      | report        | 1    |
      | refusal       | 1    |

  Scenario Outline: a group that another aggregator may hold
    Given two aggregators, of which the first owns the back ends
    When the second aggregator is asked for the group <how>
    Then it answers "<result>" and calls at most <calls> at once

    Examples:
      | how                                      | result    | calls |
      | unmarked                                 | not_owner | 0     |
      | as a takeover                            | answered  | 1     |
      | as a takeover after a planned stop       | answered  | 2     |
      | unmarked after the first hands it over   | answered  | 2     |
