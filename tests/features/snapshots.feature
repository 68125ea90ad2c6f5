Feature: A query is pinned to the newest snapshot that is fully served

  Scenario Outline: the owners of two groups announce versions <first> and <second>
    Given a collection in two groups with index versions 1 and 2
    And owner "a1" of the first group announces versions <first>
    And owner "a1" of the second group announces versions <second>
    Then a new query is pinned to version <pinned>

    Examples:
      | first | second | pinned |
      | 1,2   | 1,2    | 2      |
      | 1,2   | 1      | 1      |
      | 1     | 1,2    | 1      |
      | 2     | 2      | 2      |
      | 2     | 1      | 2      |
      | 1     | none   | 1      |
      | none  | none   | 2      |

  Scenario Outline: the operators set <field> to <version> while versions <served> are served
    Given a collection in two groups with index versions 1 and 2
    And the operators set <field> to <version>
    And owner "a1" of the first group announces versions <served>
    And owner "a1" of the second group announces versions <served>
    Then a new query is pinned to version <pinned>

    Examples:
      | field                 | version | served | pinned |
      | minimum_index_version | 2       | 1      | 2      |
      | pinned_index_version  | 1       | 1,2    | 1      |
      | pinned_index_version  | 2       | 1      | 2      |

  Scenario: a version is not used while one of its shards has no replica
    Given a collection in two groups with index versions 1 and 2
    And owner "a1" of the first group announces versions 1,2
    And owner "a1" of the second group announces versions 1,2 without shard "s0001" at 2
    Then a new query is pinned to version 1

  Scenario: a group status expires, and the first owner's has precedence over another's
    Given a collection in two groups with index versions 1 and 2
    And owner "a1" of the first group announces versions 1,2
    And owner "a1" of the second group announces versions 1,2
    And owner "a2" of the first group announces versions 1
    Then a new query is pinned to version 2
    When the statuses of "a1" are 151 s old and "a2" announces versions 1 of both groups
    Then a new query is pinned to version 1
