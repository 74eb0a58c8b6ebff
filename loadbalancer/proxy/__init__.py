"""The lifecycle of requests and of their attempts; the only caller of the policy.

`proxy.py` passes events to the policy and carries out its actions. Requests end in `request_table.py`, attempts in
`attempt_runner.py`; `answer_writer.py` and `final_answers.py` decide what the client gets.
"""
