Feature: A query is pinned to the newest of the snapshots with the most shards served

  Scenario Outline: two groups announce versions <first> and <second>: <pinned> is pinned
    Given a collection in two groups with index versions 1 and 2
    And aggregator "a1" announces for the first group the versions <first>
    And aggregator "a1" announces for the second group the versions <second>
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

  Scenario Outline: <field> is <version>, served versions <served>: <pinned> is pinned
    Given a collection in two groups with index versions 1 and 2
    And the operators set <field> to <version>
    And aggregator "a1" announces for the first group the versions <served>
    And aggregator "a1" announces for the second group the versions <served>
    Then a new query is pinned to version <pinned>

    Examples:
      | field                 | version | served | pinned |
      | minimum_index_version | 2       | 1      | 2      |
      | pinned_index_version  | 1       | 1,2    | 1      |
      | pinned_index_version  | 2       | 1      | 2      |

  Scenario: a version is not used while one of its shards has no replica
    Given a collection in two groups with index versions 1 and 2
    And aggregator "a1" announces for the first group the versions 1,2
    And aggregator "a1" announces for the second group the versions 1,2 without shard "s0001" of version 2
    Then a new query is pinned to version 1

  Scenario: the owner's group status has precedence over another aggregator's until it expires
    Given a collection in two groups with index versions 1 and 2
    And aggregator "a1" announces for the first group the versions 1,2
    And aggregator "a1" announces for the second group the versions 1,2
    And aggregator "a2" announces for the first group the versions 1
    Then a new query is pinned to version 2
    When all statuses are 151 s old and "a2" announces version 1 of both groups
    Then a new query is pinned to version 1
