Feature: A non-repeatable request runs at most once on the backend servers

  Scenario Outline: <kind> request, connections that are <connection>, failure at "<point>"
    Given two backend servers reached over <connection> connections
    And searches on these servers fail at "<point>"
    When a <kind> request is sent to these servers
    Then it runs <executions> times on these servers
    And its outcome is "<outcome>" and its sent flag is <sent>

    Examples: not repeatable
      | kind           | connection | point        | executions | outcome      | sent  |
      | non-repeatable | fresh      | nowhere      | 1          | answered     | true  |
      | non-repeatable | fresh      | no listener  | 0          | no_replica   | false |
      | non-repeatable | fresh      | one listener | 1          | answered     | true  |
      | non-repeatable | fresh      | accept       | 0          | backend_lost | true  |
      | non-repeatable | fresh      | headers      | 0          | backend_lost | true  |
      | non-repeatable | fresh      | body         | 0          | backend_lost | true  |
      | non-repeatable | fresh      | running      | 1          | backend_lost | true  |
      | non-repeatable | fresh      | response     | 1          | backend_lost | true  |
      | non-repeatable | reused     | nowhere      | 1          | answered     | true  |
      | non-repeatable | reused     | headers      | 0          | backend_lost | true  |
      | non-repeatable | reused     | body         | 0          | backend_lost | true  |
      | non-repeatable | reused     | running      | 1          | backend_lost | true  |
      | non-repeatable | reused     | response     | 1          | backend_lost | true  |

    Examples: repeatable, within the retry budget
      | kind       | connection | point        | executions | outcome      | sent  |
      | repeatable | reused     | running      | 2          | backend_lost | true  |
      | repeatable | reused     | headers      | 0          | backend_lost | true  |
      | repeatable | reused     | one listener | 1          | answered     | true  |
