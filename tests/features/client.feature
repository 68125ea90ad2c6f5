Feature: A client tries another entry only if its query has certainly not run

  Scenario Outline: <kind> query, the first entry <fault>: the client receives <result>
    Given a client that knows two entries
    And the first entry <fault>
    When the client sends one <kind> query
    Then the query runs <first> times at the first entry and <second> times at the second
    And the client receives <result>

    Examples: idempotent
      | fault                          | kind       | first | second | result          |
      | answers                        | idempotent | 1     | 0      | the answer      |
      | does not listen                | idempotent | 0     | 1      | the answer      |
      | accepts no connections         | idempotent | 0     | 1      | the answer      |
      | is not ready                   | idempotent | 0     | 1      | the answer      |
      | is stopping                    | idempotent | 0     | 1      | the answer      |
      | is in an evacuated data centre | idempotent | 0     | 1      | the answer      |
      | finds no owner                 | idempotent | 0     | 1      | the answer      |
      | is overloaded                  | idempotent | 0     | 0      | overloaded      |
      | disconnects while running      | idempotent | 1     | 0      | outcome_unknown |
      | sends a malformed answer       | idempotent | 1     | 0      | outcome_unknown |

    Examples: non-idempotent
      | fault                     | kind           | first | second | result          |
      | answers                   | non-idempotent | 1     | 0      | the answer      |
      | does not listen           | non-idempotent | 0     | 1      | the answer      |
      | is stopping               | non-idempotent | 0     | 1      | the answer      |
      | disconnects while running | non-idempotent | 1     | 0      | outcome_unknown |

  Scenario: the client caches the list of entries
    Given a client that knows two entries
    When the client sends 3 idempotent queries
    Then the client fetches the list of entries 1 time

  Scenario: each non-idempotent query has its own ticket
    Given a client that knows two entries
    When the client sends 3 non-idempotent queries
    Then the client uses 3 different tickets, each at the entry that minted it
