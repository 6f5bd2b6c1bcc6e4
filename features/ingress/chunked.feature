Feature: Bodies in chunks are decoded wherever their bytes are divided

  Scenario: a body in chunks is decoded from pieces of any length
    Given 300 random bodies in chunks, each followed by another request
    When they are decoded in random pieces
    Then each content is whole, and the other request is left

  Scenario Outline: what is no body in chunks
    Then <bytes> is an error, in one piece and byte by byte

    Examples:
      | bytes                     |
      | 'x\r\n'                   |
      | '\r\n'                    |
      | '-1\r\na\r\n0\r\n\r\n'    |
      | '0x1\r\na\r\n0\r\n\r\n'   |
      | '1 \r\na\r\n0\r\n\r\n'    |
      | '1;a=b\r\na\r\n0\r\n\r\n' |
      | '1\r\nab\r\n0\r\n\r\n'    |
      | '1\r\na\n0\r\n\r\n'       |
      | '1\na\r\n0\r\n\r\n'       |
      | '0\r\nTrailer: x\r\n\r\n' |
