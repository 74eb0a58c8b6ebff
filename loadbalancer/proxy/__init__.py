"""The life of a request and of its attempts; the only caller of the policy.

`proxy.py` passes events to the policy and carries out its actions; `request_table.py` is where a request ends,
`attempt_runner.py` where an attempt ends, `answer_writer.py` and `final_answers.py` say what the client gets.
"""
