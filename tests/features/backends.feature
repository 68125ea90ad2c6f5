Feature: Faults of backend servers cost few queries and little extra load

  Scenario Outline: <servers> replicas, <fault>: at least <fraction> of the queries are complete
    Given a group of <servers> warm replicas
    When <fault> while queries run
    Then at least a fraction of <fraction> of the non-crashing queries gets a complete answer
    And the servers crash at most <crashes> times and have at most <overloads> overloaded moments
    And no non-idempotent request runs twice on the servers
    And extra calls are at most 0.05 of first calls and no request reported as unsent was sent

    Examples:
      | servers | fault                                   | fraction | crashes | overloads |
      | 3       | nothing fails                           | 1.0      | 0       | 0         |
      | 3       | one server is unavailable               | 0.99     | 0       | 0         |
      | 3       | one server drains                       | 1.0      | 0       | 0         |
      | 3       | one server restarts                     | 0.95     | 0       | 0         |
      | 3       | one server becomes cold                 | 0.95     | 0       | 1         |
      | 3       | all servers become cold                 | 0.5      | 0       | 3         |
      | 3       | one server sheds half of its load       | 0.9      | 0       | 0         |
      | 3       | all servers shed all load               | 0.0      | 0       | 0         |
      | 3       | all servers are unavailable             | 0.0      | 0       | 0         |
      | 3       | all state reports are stuck             | 1.0      | 0       | 0         |
      | 3       | all state reports are zero              | 1.0      | 0       | 0         |
      | 3       | all state reports are absurd            | 1.0      | 0       | 0         |
      | 3       | all state reports are absent            | 1.0      | 0       | 0         |
      | 3       | a recurring request crashes its servers | 0.9      | 2       | 2         |
      | 6       | a recurring request crashes its servers | 0.9      | 2       | 2         |
      | 6       | a partition breaks connections          | 0.9      | 0       | 6         |

  Scenario Outline: a server that <sign> shows as leaving gets at most <calls> further calls
    Given a group of 3 warm replicas
    When <sign> shows that one server is leaving
    Then it gets at most <calls> further calls

    Examples:
      | sign                              | calls |
      | its configuration                 | 0     |
      | the evacuation of its data centre | 0     |
      | its state report                  | 1     |
      | a refused call                    | 1     |

  Scenario Outline: a sub-query that is sent to another aggregator <how>: <result>
    Given two aggregators, the first of which owns the group of backend servers
    When the second aggregator is sent a sub-query for the group <how>
    Then its result is "<result>" and its highest concurrency limit of a server is <limit>

    Examples:
      | how                                               | result    | limit |
      | as if it were the owner                           | not_owner | 0     |
      | as a takeover                                     | answered  | 1     |
      | as a takeover after a graceful shutdown           | answered  | 2     |
      | as the owner after the first hands the group over | answered  | 2     |
