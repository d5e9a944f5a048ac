@fixture.route-site.1
Feature: without bounds in the settings neither orders to drain nor cold servers matter

  Scenario: an order to drain is not followed
    When "hall-a" is drained
    Then requests "/safe/ok" reach servers in "hall-a" again
    And "hall-a" is used again

  Scenario: a cold engine is used like any other
    When the engine in "hall-a" says that it is cold for 60 s
    Then requests "/chat/ok" reach servers in "hall-a" again
