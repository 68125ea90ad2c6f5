Feature: A client tries another entry only if its query has certainly not run

  Scenario Outline: <kind> query, the first entry <fault>: the client receives <result>
    Given a client that knows two entries
    And the first entry <fault>
    When the client sends a <kind> query
    Then the query runs <first> times at the first entry and <second> times at the second
    And the client receives <result>

    Examples: repeatable
      | fault                          | kind       | first | second | result          |
      | answers                        | repeatable | 1     | 0      | the answer      |
      | does not listen                | repeatable | 0     | 1      | the answer      |
      | accepts no connections         | repeatable | 0     | 1      | the answer      |
      | is not ready                   | repeatable | 0     | 1      | the answer      |
      | is stopping                    | repeatable | 0     | 1      | the answer      |
      | is in an evacuated data centre | repeatable | 0     | 1      | the answer      |
      | finds no owner                 | repeatable | 0     | 1      | the answer      |
      | is overloaded                  | repeatable | 0     | 0      | overloaded      |
      | disconnects while running      | repeatable | 1     | 0      | outcome_unknown |
      | sends a malformed answer       | repeatable | 1     | 0      | outcome_unknown |

    Examples: non-repeatable
      | fault                     | kind           | first | second | result          |
      | answers                   | non-repeatable | 1     | 0      | the answer      |
      | does not listen           | non-repeatable | 0     | 1      | the answer      |
      | is stopping               | non-repeatable | 0     | 1      | the answer      |
      | disconnects while running | non-repeatable | 1     | 0      | outcome_unknown |

  Scenario: the client caches the list of entries
    Given a client that knows two entries
    When the client sends 3 repeatable queries
    Then the client fetches the list of entries 1 time

  Scenario: each non-repeatable query has its own ticket
    Given a client that knows two entries
    When the client sends 3 non-repeatable queries
    Then the client uses 3 different tickets, each at the entry that minted it
