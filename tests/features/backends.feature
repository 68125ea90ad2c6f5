Feature: Faults of backend servers cost few queries and little extra load

  Scenario Outline: <servers> replicas serve queries while <fault>
    Given a group of <servers> warm replicas
    When <fault> while queries run
    Then at least a fraction of <fraction> of the queries gets a complete answer
    And the servers crash at most <crashes> times and have at most <overloads> overloaded moments
    And no non-repeatable request runs twice on the servers
    And extra calls are at most 0.05 of first calls and no request reported as unsent was sent

    Examples:
      | servers | fault                                  | fraction | crashes | overloads |
      | 3       | nothing fails                          | 1.0      | 0       | 0         |
      | 3       | one server is unavailable              | 0.99     | 0       | 0         |
      | 3       | one server drains                      | 1.0      | 0       | 0         |
      | 3       | one server restarts                    | 0.95     | 0       | 0         |
      | 3       | one server becomes cold                | 0.95     | 0       | 1         |
      | 3       | all servers become cold                | 0.5      | 0       | 3         |
      | 3       | one server sheds half of its load      | 0.9      | 0       | 0         |
      | 3       | all servers shed all load              | 0.0      | 0       | 0         |
      | 3       | all servers are unavailable            | 0.0      | 0       | 0         |
      | 3       | all state reports are stuck            | 1.0      | 0       | 0         |
      | 3       | all state reports are zero             | 1.0      | 0       | 0         |
      | 3       | all state reports are absurd           | 1.0      | 0       | 0         |
      | 3       | all state reports are absent           | 1.0      | 0       | 0         |
      | 3       | a repeated request crashes its servers | 0.9      | 2       | 2         |
      | 6       | a repeated request crashes its servers | 0.9      | 2       | 2         |
      | 6       | a partition breaks connections         | 0.9      | 0       | 6         |

  Scenario Outline: a leaving server gets no new calls once <sign> shows that it leaves
    Given a group of 3 warm replicas
    When <sign> shows that one server is leaving
    Then it gets at most <calls> further calls

    Examples:
      | sign                              | calls |
      | its configuration                 | 0     |
      | the evacuation of its data centre | 0     |
      | its state report                  | 1     |
      | a refused call                    | 1     |

  Scenario Outline: a group that another aggregator may own is requested <how>
    Given two aggregators, the first of which owns the group of backend servers
    When the second aggregator is sent a sub-query for the group <how>
    Then it answers "<result>" and its concurrency limit per server is <limit>

    Examples:
      | how                                               | result    | limit |
      | as its owner                                      | not_owner | 0     |
      | as a takeover                                     | answered  | 1     |
      | as a takeover after a graceful shutdown           | answered  | 2     |
      | as its owner after the first hands the group over | answered  | 2     |
