Feature: A non-repeatable request runs at most once on the backend servers

  Scenario Outline: <kind> request, <connection> connections, "<fault>": it runs <executions> times
    Given two backend servers reached over <connection> connections
    And these servers have the fault "<fault>"
    When a <kind> request is sent to these servers
    Then it runs <executions> times on these servers
    And its outcome is "<outcome>" and its sent flag is <sent>

    Examples: non-repeatable
      | kind           | connection | fault              | executions | outcome      | sent  |
      | non-repeatable | fresh      | none               | 1          | answered     | true  |
      | non-repeatable | fresh      | no listener        | 0          | no_replica   | false |
      | non-repeatable | fresh      | one listener       | 1          | answered     | true  |
      | non-repeatable | fresh      | drop at accept     | 0          | backend_lost | true  |
      | non-repeatable | fresh      | drop at headers    | 0          | backend_lost | true  |
      | non-repeatable | fresh      | drop at body       | 0          | backend_lost | true  |
      | non-repeatable | fresh      | drop while running | 1          | backend_lost | true  |
      | non-repeatable | fresh      | drop in response   | 1          | backend_lost | true  |
      | non-repeatable | reused     | none               | 1          | answered     | true  |
      | non-repeatable | reused     | drop at headers    | 0          | backend_lost | true  |
      | non-repeatable | reused     | drop at body       | 0          | backend_lost | true  |
      | non-repeatable | reused     | drop while running | 1          | backend_lost | true  |
      | non-repeatable | reused     | drop in response   | 1          | backend_lost | true  |

    Examples: repeatable, within the retry budget
      | kind       | connection | fault              | executions | outcome      | sent |
      | repeatable | reused     | drop while running | 2          | backend_lost | true |
      | repeatable | reused     | drop at headers    | 0          | backend_lost | true |
      | repeatable | reused     | one listener       | 1          | answered     | true |
