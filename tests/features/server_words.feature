Feature: what a server says with its answers is heeded, whatever the store says
  Seen: requests reached a server for seconds after its answers had told the entry that it
  was leaving; two seconds are promised. And a server that had turned an entry away and
  asked it for three seconds without requests got three and four in them.

  How it came about: the store was silent when the server began to leave, so that no list
  said so for twelve seconds; its answers did, to each entry that had called it. A server
  that turned calls away was chosen again for the next request.

  @fixture.route-site.2
  Scenario Outline: a server that says with <answer> that it leaves gets no more calls
    Given a "<kind>" server that says so with its answers, and a store that does not
    When requests "<path>" are sent until it has answered one
    Then of the next 20 requests "<path>" to that entry none reaches it
    And soon none of the other entry does

    Examples:
      | answer             | kind   | path         |
      | an answer          | plain  | /safe/ok     |
      | a failure          | plain  | /safe/error  |
      | a refusal          | plain  | /safe/refuse |
      | a call once only   | plain  | /unsafe/ok   |
      | a stream's head    | engine | /chat/ok     |
      | a call of a stage  | stage  | /staged/ok   |

  @fixture.route-site.1
  Scenario Outline: a server that asks for a pause of <pause> s gets two calls in it
    Given a "<kind>" server that turns calls away and asks for "<pause>" seconds
    When requests "<path>" are sent for 2.2 seconds
    Then in the pause it got 2 calls at the most, and all are answered
    When it takes calls again and the pause is over
    Then requests "<path>" reach it again

    Examples:
      | kind   | path       | pause |
      | plain  | /safe/ok   | 2     |
      | plain  | /unsafe/ok | 1.5   |
      | engine | /chat/ok   | 2.0   |
      | stage  | /staged/ok | 2     |

  @fixture.route-site.1
  Scenario Outline: requests "<path>" are refused at once while all servers ask for a pause
    Given all "<kind>" servers turn calls away and ask for "3" and "2" seconds
    When requests "<path>" are sent side by side for 1.5 seconds
    Then the later ones are refused at once, to come back at the earliest end

    Examples:
      | kind   | path       |
      | plain  | /safe/ok   |
      | engine | /chat/ok   |
      | stage  | /staged/ok |

  @fixture.route-site.1
  Scenario Outline: a pause of "<pause>" is none
    Given a "plain" server that turns calls away and asks for "<pause>" seconds
    When requests "/safe/ok" are sent for 1.0 seconds
    Then it got more than 2 calls, and all are answered

    Examples:
      | pause                         |
      | -3                            |
      | nan                           |
      | soon                          |
      | Wed, 21 Oct 2026 07:28:00 GMT |
