Feature: the load tool's own arithmetic
  A tiny recorded sample stands for a run; one stand-in is the only process.

  Scenario: a schedule is the same for the same seed only
    Given arrivals at load 2 for 3 s with seed 5
    Then arrivals at load 2 for 3 s with seed 5 are the same
    And arrivals at load 2 for 3 s with seed 6 differ
    And they are in order of time and their rate is 200 a second within a fifth

  Scenario: a burst and a step change the rate where their phases say
    Given arrivals in phases
      | seconds | load |
      | 10      | 1    |
      | 10      | 4    |
      | 2       | 0    |
    Then between 10 and 20 s come about four times as many a second as before
    And after 20 s come none

  Scenario Outline: the bottleneck gives the capacity
    Then the servers carry <rate> requests a second of "<mix>"

    Examples:
      | mix     | rate |
      | caption | 100  |
      | search  | 150  |
      | ping    | 1200 |

  Scenario: a call costs what the capacity is computed from, streamed or whole
    Given a stand-in for a writer
    When it is called once for a stream and once for a whole answer
    Then each call cost the seconds that the pool's rate is computed from

  Scenario: the figures of a recorded sample
    Given the recorded samples
      | at  | account | outcome  | seconds | request |
      | 0.1 | large   | answered | 0.3     | r-1     |
      | 0.2 | large   | answered | 1.6     | r-2     |
      | 0.3 | small-1 | answered | 0.2     | r-3     |
      | 0.4 | small-1 | refused  | 0.01    | r-4     |
      | 0.5 | small-1 | refused  | 0.2     | r-5     |
    And the recorded work on the writer
      | request | busy | finished |
      | r-1     | 0.2  | yes      |
      | r-1     | 0.1  | no       |
      | r-2     | 0.2  | yes      |
      | r-3     | 0.2  | yes      |
    When they are summed up from 0 to 1 s
    Then the figures are
      | figure                 | value  |
      | attainment                 | 0.4    |
      | attainment_admitted        | 0.6667 |
      | fast_refusals              | 0.5    |
      | accounts worst             | 0.3333 |
      | work wasted_seconds        | 0.3    |
      | work attempts_per_call     | 1.3333 |
      | answered_seconds p99       | 0.3    |
      | all_seconds p50            | 0.2    |

  Scenario: fair shares give what small ones leave to the large
    Then 100 shared over demands 10, 20 and 200 with equal weights give 10, 20 and 70
    And Jain's index of 1 and 1 is 1.0 and that of 1 and 0 is 0.5

  Scenario Outline: recovery is the last poor window after the fault
    Then with attainment "<windows>" by half seconds and a fault from 1 to 2 s recovery takes "<seconds>"

    Examples:
      | windows                 | seconds |
      | 1 1 0 0 1 1 1 1         | 0.0     |
      | 1 1 0 0 0 0.5 1 1       | 1.0     |
      | 1 1 0 0 1 0 1 1         | 1.0     |
      | 1 1 0 0 0 0 0 0         | None    |

  Scenario: what must never happen is counted
    Given the recorded samples
      | at  | account | outcome  | seconds | request |
      | 0.1 | large   | refused  | 0.01    | r-1     |
      | 0.2 | large   | answered | 0.1     | r-2     |
      | 0.3 | large   | lost     | 0.1     |         |
    When the ledger ran "r-1" 1 times and "r-2" 2 times
    Then 1 is lost, 1 doubled, 0 crossed and 1 refused but run

  Scenario: a trace that was written is read again, with its stated outcomes
    Given a trace written from 1 s at load 0.5 and 1 s at load 3
    When it is read
    Then its arrivals are those of the schedule
    And until 1 s it states "answered" and after it "answered, refused"
    And a refusal at 0.5 s is not as stated, a refusal at 1.5 s is
