"""Memory use of a mailbox."""

import asyncio
import gc
import weakref

from bramblebeam.kernel.mailbox import Envelope, Mailbox


class LargeAnswer:
    pass


async def test_old_answers_are_released() -> None:
    mailbox = Mailbox(10)
    answers: weakref.WeakSet[LargeAnswer] = weakref.WeakSet()
    for _ in range(1_000):
        reply = asyncio.get_running_loop().create_future()
        mailbox.put(Envelope("question", reply))
        await mailbox.get()
        answer = LargeAnswer()
        answers.add(answer)
        reply.set_result(answer)
        del answer, reply
    gc.collect()
    assert len(answers) <= 64
