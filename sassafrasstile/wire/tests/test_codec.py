import unittest

from sassafrasstile import messages
from sassafrasstile import testing
from sassafrasstile import wire
from sassafrasstile.wire import router_pb2


class CodecTest(unittest.TestCase):
    def test_messages_survive_encoding_and_decoding(self):
        for message in testing.make_samples():
            batch = messages.Batch(
                sender="gateway-1",
                incarnation="a",
                target="b",
                sent_at=1.5,
                load=messages.Load(leaving=True, slots=3, backlog_s=0.5),
                messages=(message,),
            )
            data = wire.encode(batch).SerializeToString()
            decoded = wire.decode(router_pb2.Batch.FromString(data))
            self.assertEqual(decoded, batch)

    def test_messages_with_default_values_survive_encoding_and_decoding(self):
        batch = messages.Batch(
            sender="a",
            incarnation="b",
            messages=(messages.Renewed(), messages.Renew(issued_below=0)),
        )
        data = wire.encode(batch).SerializeToString()
        decoded = wire.decode(router_pb2.Batch.FromString(data))
        self.assertEqual(decoded, batch)

    def test_message_of_a_later_version_is_left_out(self):
        batch = router_pb2.Batch(sender="a", incarnation="b")
        batch.envelopes.add()
        self.assertEqual(wire.decode(batch).messages, ())

    def test_identity_is_restored_from_the_first_batch(self):
        first = messages.Batch(sender="a", incarnation="b", target="c")
        later = messages.Batch(
            sender="a",
            incarnation="b",
            target="c",
            messages=(messages.Renewed(),),
        )
        stripped = wire.strip_identity(later)
        self.assertEqual(stripped.sender, "")
        self.assertEqual(wire.restore_identity(stripped, first), later)
