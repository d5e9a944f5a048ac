Feature: a part of prompts that crashes servers is soon sent to none

  # Guards against requests that have nothing in common but one part of their prompts, and
  # crash one engine after the other, at any entry.
  @fixture.route-site.6
  Scenario Outline: no two requests alike, <case>: few reach engines, sound ones are served
    Given <engines> engines that crash under a part and are back after 2 s
    When requests with the part in place <place> of <of> come <rate> times a second at all entries for 14 s, beside 30 sound ones
    Then at most 3 of them reach engines later than 3 s after the fifth crash
    And no more than <most> engines have crashed
    And from 6 s after it on sound requests are served as often as before, or at least 9 in 10
    And requests with the part are refused at once as not run from then on

    Examples:
      | case                  | engines | place | of  | rate | most |
      | the part in 2nd place | 6       | 2     | 4   | 4    | 8    |
      | in 1st place          | 6       | 1     | 4   | 4    | 8    |
      | in 3rd place          | 6       | 3     | 4   | 4    | 8    |
      | one in two seconds    | 6       | 2     | 4   | 0.5  | 8    |
      | ten a second          | 6       | 2     | 4   | 10   | 12   |
      | two engines           | 2       | 2     | 4   | 4    | 8    |
      | a part far behind     | 6       | 300   | 320 | 4    | 8    |

  # Guards against parts that are known one at a time only.
  @fixture.route-site.6
  Scenario: two parts crash engines in turn
    Given 6 engines that crash under two parts and are back after 2 s
    When requests with either part come 4 times a second at all entries for 14 s, beside 30 sound ones
    Then at most 6 of them reach engines later than 3 s after the tenth crash
    And from 6 s after it on sound requests are served as often as before, or at least 9 in 10

  # Guards against the stages of a request that no engine may run.
  @fixture.route-site.3
  Scenario: a staged request with a blocked part has no piece made
    Given 4 engines that crash under a part and are back after 1 s
    When staged requests with the part come until they are refused
    Then a further one is refused at once, and none of its pieces is made

  # Guards against parts that are blocked because engines ended for another reason.
  @fixture.route-site.3
  Scenario: engines that are killed block no part of the prompts that were there
    Given 6 engines that crash under a part and are back after 1 s
    When 30 sound requests a second come while engines are killed one after the other for 8 s
    Then all sound requests of the last 4 s are served

  # Guards against the same for pieces: requests that have only their piece key in common
  # crash one stage server after the other.
  @fixture.route-site.3
  Scenario: a piece key that crashes stage servers reaches few, others are answered
    Given 4 more "stage" servers
    When staged requests with one piece key that crashes servers come 14 times, no two alike, each beside 3 with other keys
    Then no more than 8 stage servers have crashed
    And the last 5 requests with the key are refused at once as not run
    And every innocent call is answered, of 42
