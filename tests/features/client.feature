Feature: A caller moves on to another entry only where its query has certainly not run

  Scenario Outline: the first entry fails
    Given a client that knows two entries
    And the client's first entry <fault>
    When the client sends a <kind> query
    Then the client's query ran <first> times at the first entry and <second> at the second
    And the client gets <result>

    Examples: repeatable
      | fault              | kind           | first | second | result          |
      | answers            | repeatable     | 1     | 0      | the answer      |
      | does not listen    | repeatable     | 0     | 1      | the answer      |
      | accepts nothing    | repeatable     | 0     | 1      | the answer      |
      | is not ready       | repeatable     | 0     | 1      | the answer      |
      | is stopping        | repeatable     | 0     | 1      | the answer      |
      | is out             | repeatable     | 0     | 1      | the answer      |
      | finds no owner     | repeatable     | 0     | 1      | the answer      |
      | is overloaded      | repeatable     | 0     | 0      | overloaded      |
      | drops when running | repeatable     | 1     | 0      | outcome_unknown |
      | answers nonsense   | repeatable     | 1     | 0      | outcome_unknown |

    Examples: not repeatable
      | fault              | kind           | first | second | result          |
      | answers            | non-repeatable | 1     | 0      | the answer      |
      | does not listen    | non-repeatable | 0     | 1      | the answer      |
      | is stopping        | non-repeatable | 0     | 1      | the answer      |
      | drops when running | non-repeatable | 1     | 0      | outcome_unknown |

  Scenario: the answer to which entries to use is kept
    Given a client that knows two entries
    When the client sends 3 repeatable queries
    Then the client asked which entries to use 1 time

  Scenario: each query that is not repeatable has a ticket of its own
    Given a client that knows two entries
    When the client sends 3 non-repeatable queries
    Then the client used 3 different tickets at the entry that minted them
