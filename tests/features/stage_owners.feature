Feature: the entries of a region own its queues and what belongs to them

  # Guards against queues on entries of another region, or on small ones.
  Scenario Outline: the eligible entries of a region are ranked for its queues
    Given entries of valley with the capacities "<valley>" and of hills with "<hills>"
    Then the entries ranked for "<region>" are "<ranked>"

    Examples:
      | valley      | hills   | region | ranked                      |
      | 2 1 0.9     | 0.4 0.1 | valley | valley-0 valley-1           |
      | 2 1 0.9     | 0.4 0.2 | hills  | hills-0 hills-1             |
      | 2 1 0.9     | 0.4 0.1 | hills  | hills-0                     |
      | 2 1 0.9     | none    | hills  | valley-0 valley-1           |
      | 2 1 0.9     | 0.4 0.1 | all    | valley-0 valley-1           |
      | 1           | 1       | all    | valley-0 hills-0            |

  # Guards against two entries that call the servers of a queue.
  Scenario: the owner of a queue grants the permits for its region's servers
    Given entries of valley with the capacities "2 2 2 1" and of hills with "0.5 0.5 0.4"
    Then for each stage server all entries name the owner of its region's queue first
    And for other servers all entries name the same one, and any may send to cold ones

  # Guards against a grantor that stays after its region's entries have changed.
  Scenario: when the owner of a queue is gone, the next entry of the region grants
    Given entries of valley with the capacities "2 2 2 1" and of hills with "0.5 0.5 0.4"
    When the entry that grants the permits for the stage servers of hills is gone
    Then for each stage server all entries name the owner of its region's queue first
    And the entry that grants for the stage servers of hills has not been first for long

  # Guards against an entry that owns a queue for a while, because the first in rank was
  # slow to answer, and gets no permit for the limited server of its region: its orders
  # were dropped as late.
  Scenario: the entries of a region get permits for its stage servers from the first
    Given entries of valley with the capacities "2 2 2 2" and of hills with "2 2 2 2"
    And all stage servers have a request limit
    Then each entry gets a permit for each stage server of its region

  # Guards against a change for deployments of one region.
  Scenario: with one region, the first in rank for a service grants for its servers
    Given entries of one region with the capacities "2 2 1 0.5"
    Then for each stage server all entries name the first in rank for its service

  # Guards against pieces that are made for nobody by an owner that has accepted an order,
  # if its answer was lost and another entry got the order after it.
  Scenario Outline: an order is cancelled at an owner that gave no answer once it <ends>
    Given an entry whose orders are accepted by the second in rank only
    When an order is sent and <ends>
    Then it was cancelled at "<entries>"

    Examples:
      | ends         | entries |
      | is done      | a       |
      | is abandoned | a b     |
      | is refused   | a       |
