Feature: A configuration version is in force everywhere and never reverts
  Scenario Outline: configuration spreads from one process while <fault>
    Given configuration version 1 in 3 zones with 8 hosts each
    And configuration peers that have "<fault>"
    When configuration version 2 is read by one process only
    Then configuration version 2 is in force everywhere within <limit> s

    Examples:
      | fault           | limit |
      | nothing wrong   | 1     |
      | a tenth of loss | 1     |
      | a third of loss | 5     |
      | one-way cuts    | 5     |

  Scenario Outline: configuration of <shards> shards reaches a new process from peers
    Given configuration version 1 with <shards> shards in 1 zones with 3 hosts each
    When configuration is asked for by a process that started without the platform
    Then configuration version 1 is in force everywhere within <limit> s
    And configuration is confirmed everywhere within 2 s

    Examples:
      | shards | limit |
      | 2      | 2     |
      | 6000   | 5     |

  Scenario Outline: configuration never reverts when a process meets <source>
    Given configuration version 3 in 1 zones with 3 hosts each
    When configuration meets "<source>"
    Then configuration version 3 is in force everywhere after 10 s

    Examples:
      | source                            |
      | a stale read                      |
      | an older base                     |
      | a stale peer                      |
      | a new process beside a stale read |
      | restarts one by one               |

  Scenario Outline: configuration disputes are settled, <case>
    Given configuration version 2 in 1 zones with 4 hosts each
    When configuration version 2 is another document at <others> processes that are <kind>
    Then configuration is the same document everywhere within 5 s
    And configuration kept the document of the first process is "<kept>"

    Examples:
      | case                      | others | kind      | kept   |
      | new process, restored platform | 1 | new       | yes    |
      | half of the fleet disagrees    | 2 | confirmed | either |

  Scenario Outline: configuration is confirmed, platform <platform> and peers <peers>
    Given configuration of a process that starts at 0 s
    When configuration is <platform> by the platform and <peers> by peers
    Then configuration is confirmed "<confirmed>" after 0.5 s and "<later>" after 30 s

    Examples:
      | platform | peers                   | confirmed | later |
      | not told | not told                | no        | no    |
      | told     | not told                | no        | yes   |
      | not told | told by a confirmed one | yes       | yes   |
      | not told | told by a new one       | no        | no    |
      | told     | told by a new one       | no        | yes   |
      | told     | told of a newer version | no        | yes   |
