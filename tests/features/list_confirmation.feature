Feature: the store confirms that a server list is current

  # Guards against a list that counts as current though changes are missing: watches that
  # do not wait can be deaf as well, and histories and eras end.
  Scenario Outline: a list is <state> after <what>
    Given a list at revision 5 of a store
    When <what>
    Then the list is <state>

    Examples:
      | what                                               | state                         |
      | nothing has changed                                | confirmed                     |
      | a key of another prefix has changed                | confirmed                     |
      | a server was listed                                | confirmed, with the server    |
      | a server was listed, and watches are deaf          | unconfirmed                   |
      | a server was listed, and the history is gone       | confirmed, with the server    |
      | the store came back from a copy                    | confirmed, with the server    |
      | the store gives no answer                          | unconfirmed                   |
      | a server was listed, and watches give no answer    | unconfirmed                   |

  # Guards against reads that grow with the number of streams that are taken up at once.
  Scenario: one read serves all that ask before it begins
    Given a store whose first read is under way
    When 20 more ask, and the read ends
    Then all are confirmed, by 2 reads

  # Guards against callers that wait for a store that gives no answer.
  Scenario: nobody waits for a store that gave no answer, until it does again
    Given a store that gives no answer
    When 20 ask, one after the other
    Then none is confirmed, by 1 read
    When it answers again
    Then one that asks is confirmed at last, by 3 reads
