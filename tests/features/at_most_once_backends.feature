Feature: A non-idempotent request runs at most once on the backend servers

  Scenario Outline: <kind> request, <connection> connections, "<fault>": it runs <executions> times
    Given two backend servers reached over <connection> connections
    And these servers have the fault "<fault>"
    When one <kind> request is sent to these servers
    Then it runs <executions> times on these servers
    And its outcome is "<outcome>" and its sent flag is <sent>

    Examples: non-idempotent
      | kind           | connection | fault              | executions | outcome      | sent  |
      | non-idempotent | fresh      | none               | 1          | answered     | true  |
      | non-idempotent | fresh      | no listener        | 0          | no_replica   | false |
      | non-idempotent | fresh      | one listener       | 1          | answered     | true  |
      | non-idempotent | fresh      | drop at accept     | 0          | backend_lost | true  |
      | non-idempotent | fresh      | drop at headers    | 0          | backend_lost | true  |
      | non-idempotent | fresh      | drop at body       | 0          | backend_lost | true  |
      | non-idempotent | fresh      | drop while running | 1          | backend_lost | true  |
      | non-idempotent | fresh      | drop in response   | 1          | backend_lost | true  |
      | non-idempotent | reused     | none               | 1          | answered     | true  |
      | non-idempotent | reused     | drop at headers    | 0          | backend_lost | true  |
      | non-idempotent | reused     | drop at body       | 0          | backend_lost | true  |
      | non-idempotent | reused     | drop while running | 1          | backend_lost | true  |
      | non-idempotent | reused     | drop in response   | 1          | backend_lost | true  |

    Examples: idempotent, within the retry budget
      | kind       | connection | fault              | executions | outcome      | sent |
      | idempotent | reused     | drop while running | 2          | backend_lost | true |
      | idempotent | reused     | drop at headers    | 0          | backend_lost | true |
      | idempotent | reused     | one listener       | 1          | answered     | true |
