import random
import unittest

from sassafrasstile import gateway


class AnswerAssemblerTest(unittest.TestCase):
    def test_delayed_duplicate_and_reordered_pieces_yield_each_token_once(self):
        for seed in range(50):
            generator = random.Random(seed)
            texts = [f"t{index}" for index in range(40)]
            pieces = []
            offset = 0
            while offset < len(texts):
                size = generator.randint(1, 5)
                pieces.append((offset, tuple(texts[offset : offset + size])))
                offset += size
            pieces += generator.choices(pieces, k=10)
            generator.shuffle(pieces)
            answer = gateway.AnswerAssembler()
            delivered = []
            for start, piece in pieces:
                delivered.extend(answer.add(start, piece))
            self.assertEqual(delivered, texts)

    def test_complete_only_once_every_token_arrived(self):
        answer = gateway.AnswerAssembler()
        answer.record_end(2, "stop")
        answer.add(0, ("a",))
        self.assertFalse(answer.is_complete())
        answer.add(1, ("b",))
        self.assertTrue(answer.is_complete())

    def test_tokens_beyond_a_gap_are_discarded_between_attempts(self):
        answer = gateway.AnswerAssembler()
        answer.add(1, ("stale",))
        answer.discard_undelivered()
        self.assertEqual(answer.add(0, ("a",)), ("a",))
