Feature: a server without descriptors allows fewer connections for a while

  Background:
    Given a server that allows 100 connections, of which 40 are open

  Scenario: fewer connections are allowed after a failure, and in time as many as before
    When a further one finds no descriptor
    Then 30 connections are allowed, and none is accepted
    When 1 s of the event loop goes by
    Then 30 connections are allowed, and more are accepted
    When 28 s of the event loop go by
    Then 30 connections are allowed, and more are accepted
    When 30 s of the event loop go by
    Then 100 connections are allowed, and more are accepted

  Scenario: further failures keep the limit low
    When a further one finds no descriptor
    And 29 s of the event loop go by
    And a further one finds no descriptor
    And 29 s of the event loop go by
    Then 30 connections are allowed, and more are accepted

  Scenario: an error of another kind changes nothing
    When a further one fails otherwise
    Then 100 connections are allowed, and more are accepted
