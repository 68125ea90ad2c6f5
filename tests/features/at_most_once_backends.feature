Feature: A request runs at most once at the back ends unless it is repeatable

  Scenario Outline: both replicas drop the connection of a request that is not repeatable
    Given two raw backend servers reached by <connection> connections
    And the raw backend servers drop searches at "<point>"
    When a request that is <kind> goes to the raw backend servers
    Then it ran <executions> times at the raw backend servers
    And the outcome of the raw backend servers is "<outcome>", which says sent is <sent>

    Examples: not repeatable
      | kind           | connection | point        | executions | outcome      | sent  |
      | not repeatable | fresh      | nowhere      | 1          | answered     | true  |
      | not repeatable | fresh      | no listener  | 0          | no_replica   | false |
      | not repeatable | fresh      | one listener | 1          | answered     | true  |
      | not repeatable | fresh      | accept       | 0          | backend_lost | true  |
      | not repeatable | fresh      | headers      | 0          | backend_lost | true  |
      | not repeatable | fresh      | body         | 0          | backend_lost | true  |
      | not repeatable | fresh      | running      | 1          | backend_lost | true  |
      | not repeatable | fresh      | response     | 1          | backend_lost | true  |
      | not repeatable | reused     | nowhere      | 1          | answered     | true  |
      | not repeatable | reused     | headers      | 0          | backend_lost | true  |
      | not repeatable | reused     | body         | 0          | backend_lost | true  |
      | not repeatable | reused     | running      | 1          | backend_lost | true  |
      | not repeatable | reused     | response     | 1          | backend_lost | true  |

    Examples: repeatable, within the budget of extra load
      | kind       | connection | point        | executions | outcome      | sent  |
      | repeatable | reused     | running      | 2          | backend_lost | true  |
      | repeatable | reused     | headers      | 0          | backend_lost | true  |
      | repeatable | reused     | one listener | 1          | answered     | true  |
