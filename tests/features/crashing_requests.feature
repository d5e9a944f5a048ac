Feature: a request that crashes its servers is soon sent to none
  Seen: engines of one service ended one after the other, eleven within ten seconds, and
  again seven half a minute later. Streams of many callers broke off midway, others
  failed, and each engine that was back ended again.

  How it came about: one request came again and again, twenty times in twenty seconds,
  at any of six entries and under a new id each time. Each return was sent to as many
  servers as its route allows, and each of these ended within 0.2 seconds.

  The cause: an entry knew a request by its id alone and forgot it with its answer, so
  that nobody added up what had crashed under it. What proved it: a log of what decides
  what runs shows the same request in all returns, none with more attempts than its
  route allows, and on the same day without it no server ends.

  @fixture.route-site.3
  Scenario Outline: a <call> that crashes each server that runs it reaches few of them
    When the <call> "<path>" comes 10 times, at each entry in turn
    Then no more than 6 servers have crashed, and the last 3 calls were refused at once

    Examples:
      | call             | path                 |
      | repeatable call  | /safe/always-crash   |
      | call once only   | /unsafe/always-crash |
      | stream           | /chat/always-crash   |
      | stream once only | /draft/always-crash  |

  @fixture.route-site.3
  Scenario: innocent calls beside one that crashes their servers are answered
    Given 4 more "plain" servers
    When the repeatable call "/safe/always-crash" comes 8 times, each beside 4 innocent "/safe/slow"
    Then every innocent call is answered, of 32

  @fixture.route-site.3
  Scenario: a request whose pieces crash stage servers reaches few, those beside it are answered
    Given 4 more "stage" servers
    When the staged request whose pieces crash servers comes 8 times, each beside 4 innocent ones
    Then no more than 6 servers have crashed, and the last 3 calls were refused at once
    And every innocent call is answered, of 32

  @fixture.route-site.1
  Scenario: a staged request whose pieces were cut by a crash goes on
    Given 2 more "stage" servers
    And every "stage" server but one crashes at its next call
    When 8 staged requests come at once
    Then all staged requests are answered

  @fixture.fleet.cooperative
  Scenario Outline: a <form> of a pipeline that crashes the servers of "<service>" reaches few
    When the <form> of "<pipeline>" that crashes each "<service>" comes 6 times
    Then no more than 3 servers were killed, and the last 3 answers say that it is quarantined
    And once they are back other calls of "<pipeline>" are answered

    Examples:
      | form          | pipeline     | service |
      | call          | name-chat    | writer  |
      | stream        | caption      | writer  |
      | ticketed call | order-status | counter-app |

  @fixture.fleet.cooperative
  Scenario Outline: a call goes on whose "<service>" was killed under it once
    When the call of "name-chat" whose first "<service>" is killed is made
    Then it is answered

    Examples:
      | service   |
      | encoder   |
      | retriever |
      | writer    |
