@fixture.fleet.cooperative
Feature: a stage is answered although one of its servers fails or straggles

  Scenario: prompts with one prefix meet one server's cache, from whatever entry
    When "members-web" calls "caption" at every entry with one long prefix
    Then every outcome is "answered"
    And one "writer" alone had to learn the prefix

  Scenario: a straggler's call is hedged, and the loser cancelled and accounted for
    Given a document whose budget of hedges is never spent
    When "members-web" calls "caption" with "usual" 40 times
    And "retriever-1" has the fault "slow" for one call of "caption"
    Then every outcome is "answered"
    And "entry-1" counts a hedge of "caption.retrieve" and the seconds that it cost
    And no server has a call in progress

  Scenario: a stream is hedged until it begins and comes from one server alone
    When "members-web" streams "caption" with "usual" 40 times
    And "writer-1" has the fault "slow" for one stream of "caption"
    Then every outcome is "answered"
    And every streamed answer is whole and made from its own input
    And "entry-1" counts a hedge of "caption.write" and the seconds that it cost

  Scenario: an answer that was cut is asked for again elsewhere
    When "reranker-1" has the fault "cut" for one call of "name-chat"
    Then every outcome is "answered"

  Scenario: a call that may not be repeated is neither hedged nor tried again
    When "members-web" calls "order-status" with "usual" 40 times
    And "member-ledger-1" has the fault "slow" for one call of "order-status"
    Then every outcome is "answered"
    And "member-ledger" ran each call once
    When "member-ledger-2" has the fault "cut" for one call of "order-status"
    Then one outcome is "unknown" and the others are "answered"
    And "member-ledger" ran each call once

  Scenario: a dead server is passed over, also by calls that may not be repeated
    When "member-ledger-3" and "encoder-1" die
    And "members-web" calls "order-status" with "charge" 12 times
    And "members-web" calls "caption" with "portrait" 12 times
    Then every outcome is "answered"
