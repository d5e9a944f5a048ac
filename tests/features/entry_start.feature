Feature: an entry listens before it is loaded, and loads only what it needs

  When all entries are lost at once, callers connect while they start again.

  Scenario: callers that connect before the entry is loaded are kept waiting
    Given the sockets of an entry are opened
    When a caller connects to each of its addresses
    Then every connection stands before anything accepts it

  Scenario: what is loaded before the entry listens is little
    When the command of an entry is loaded in a process of its own
    Then nothing of "waitress, pynng, prometheus_client, absl, asyncio" is loaded

  Scenario: an entry that forwards calls loads nothing that only pipelines need
    When the whole entry is loaded in a process of its own
    Then nothing of "jsonschema, hdrh, boragestream.daemon.parts" is loaded
    And nothing of "boragestream.policy.admission, boragestream.caller.application" is loaded
