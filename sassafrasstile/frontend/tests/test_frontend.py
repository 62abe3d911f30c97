import json

from twisted.internet import threads
from twisted.python import threadpool

from sassafrasstile import demo
from sassafrasstile import httpclient
from sassafrasstile import standins
from sassafrasstile import testing

_HEADERS = {"x-workspace": "callers"}
_PATH = "/v1/completions"
_GOOD = {"model": "writer", "prompt": "a valve leaks", "max_tokens": 12}


class FrontendTest(testing.ReactorTestCase):
    async def start_site(self, **parameters):
        site = demo.LocalSite(reactor=self.reactor, **parameters)
        await site.start()
        self.addCleanup(testing.run, site.close)
        return site

    async def send(self, site, method, path, body, headers=None):
        return await testing.fetch_json(
            site.list_urls()[0],
            method,
            path,
            body=body,
            headers=_HEADERS if headers is None else headers,
        )

    @testing.on_reactor
    async def test_invalid_input_gets_an_error_code_and_reaches_no_endpoint(
        self,
    ):
        site = await self.start_site(gateways=1)
        large = b'{"prompt": "' + b"x" * (1 << 20) + b'"}'
        booking = "/services/desk/bookings"
        table = (
            ("POST", _PATH, b"{", None, 400, "request_malformed"),
            ("POST", _PATH, b"[" * 9999, None, 400, "request_malformed"),
            ("POST", _PATH, [], None, 400, "request_invalid"),
            ("POST", _PATH, {"model": "writer"}, None, 400, "request_invalid"),
            ("POST", _PATH, _GOOD | {"n": 2}, None, 400, "request_invalid"),
            ("POST", _PATH, _GOOD | {"max_tokens": 0}, None, 400, None),
            ("POST", _PATH, _GOOD | {"max_tokens": "9"}, None, 400, None),
            ("POST", _PATH, _GOOD | {"stream": 1}, None, 400, None),
            ("POST", _PATH, _GOOD | {"model": "x"}, None, 404, "unknown_model"),
            ("POST", _PATH, _GOOD, {}, 401, "unknown_workspace"),
            ("POST", _PATH, large, None, 413, "request_too_large"),
            ("POST", "/v2/x", _GOOD, None, 404, "unknown_path"),
            ("POST", "/services/no/x", {}, None, 404, "unknown_service"),
            ("POST", booking, {}, {"x-workspace": "no"}, 401, None),
            (
                "POST",
                booking,
                {},
                _HEADERS | {"idempotency-key": "a b"},
                400,
                "request_invalid",
            ),
            (
                "POST",
                _PATH,
                _GOOD,
                _HEADERS | {"last-event-id": "x"},
                400,
                "request_invalid",
            ),
        )
        for method, path, body, headers, status, code in table:
            with self.subTest(path=path, code=code):
                received, answer, _ = await self.send(
                    site, method, path, body, headers
                )
                self.assertEqual(received, status)
                self.assertEqual(answer["error"]["verdict"], "not_run")
                if code is not None:
                    self.assertEqual(answer["error"]["code"], code)
        for engine in site.engines.values():
            self.assertEqual(engine.model.computed_tokens, 0)
        for service in site.services.values():
            self.assertFalse(service.executions)

    @testing.on_reactor
    async def test_refusal_is_read_by_a_caller_that_is_still_sending(self):
        site = await self.start_site(gateways=1)
        port = int(site.list_urls()[0].rpartition(":")[2])
        size = 2 << 20
        head = (
            f"POST {_PATH} HTTP/1.1\r\nHost: localhost\r\n"
            f"Content-Length: {size}\r\n\r\n"
        ).encode()
        caller = await testing.connect(self.reactor, port)
        await caller.send_blindly([head, b"x" * 30000, b"x" * 30000])
        answer = await caller.read_all()
        self.assertEqual(answer.status, 413)
        self.assertFalse(answer.is_reset)

    @testing.on_reactor
    async def test_answer_has_the_request_id_and_the_generated_text(self):
        site = await self.start_site(gateways=1)
        status, body, headers = await self.send(site, "POST", _PATH, _GOOD)
        self.assertEqual(status, 200)
        self.assertTrue(headers.getRawHeaders("x-request-id")[0])
        self.assertEqual(
            body["choices"][0]["text"],
            standins.generate_text("a valve leaks", 12),
        )

    @testing.on_reactor
    async def test_retried_booking_runs_once_and_gets_the_same_answer(self):
        site = await self.start_site(gateways=2)
        headers = _HEADERS | {"idempotency-key": "visit-7"}
        answers = []
        for url in site.list_urls() * 2:
            answers.append(
                await testing.fetch_json(
                    url,
                    "POST",
                    "/services/desk/bookings",
                    body={"flat": 7},
                    headers=headers,
                )
            )
        self.assertEqual({answer[0] for answer in answers}, {201})
        self.assertEqual(len({json.dumps(a[1]) for a in answers}), 1)
        runs = sum(
            sum(item.executions.values()) for item in site.services.values()
        )
        self.assertEqual(runs, 1)

    @testing.on_reactor
    async def test_key_reused_for_another_call_is_refused(self):
        site = await self.start_site(gateways=1)
        headers = _HEADERS | {"idempotency-key": "visit-7"}
        path = "/services/desk/bookings"
        await self.send(site, "POST", path, {"flat": 7}, headers)
        status, body, _ = await self.send(
            site, "POST", path, {"flat": 8}, headers
        )
        self.assertEqual(status, 409)
        self.assertEqual(body["error"]["code"], "idempotency_key_reused")

    @testing.on_reactor
    async def test_outcome_of_a_booking_can_be_queried_later(self):
        site = await self.start_site(gateways=1)
        headers = _HEADERS | {"idempotency-key": "visit-7"}
        path = "/services/desk/bookings"
        await self.send(site, "POST", path, {"flat": 7}, headers)
        status, body, _ = await self.send(
            site, "GET", "/outcomes/desk/visit-7", None
        )
        self.assertEqual((status, body["verdict"]), (200, "ran"))
        self.assertEqual(body["status"], 201)
        status, body, _ = await self.send(
            site, "GET", "/outcomes/desk/visit-8", None
        )
        self.assertEqual(body["verdict"], "may_have_run")

    @testing.on_reactor
    async def test_caller_s_disconnect_frees_the_engines(self):
        site = await self.start_site(gateways=1)
        http = httpclient.HttpClient(
            reactor=self.reactor, base_url=site.list_urls()[0]
        )
        body = json.dumps(_GOOD | {"max_tokens": 60, "stream": True}).encode()
        response = await http.request(
            "POST", _PATH, body=body, headers=_HEADERS
        )
        reader = httpclient.EventStreamReader(
            on_data=lambda data: None, on_end=lambda: None
        )
        response.deliverBody(reader)
        self.assertGreater(site.count_held_requests(), 0)
        reader.abort()
        await self.wait_until(lambda: site.count_held_requests() == 0)


class OpenAIClientTest(testing.ReactorTestCase):
    """Runs the official OpenAI client against a gateway."""

    def use_client(self, url):
        import openai

        client = openai.OpenAI(
            base_url=url + "/v1",
            api_key="none",
            default_headers=_HEADERS,
        )
        with client:
            parts = [
                chunk.choices[0].text
                for chunk in client.completions.create(
                    model="writer",
                    prompt="a valve leaks",
                    max_tokens=40,
                    stream=True,
                )
            ]
            chat = client.chat.completions.create(
                model="writer",
                messages=[{"role": "user", "content": "hello"}],
                max_tokens=9,
            )
            chunks = [
                chunk.choices[0].delta.content or ""
                for chunk in client.chat.completions.create(
                    model="writer",
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=9,
                    stream=True,
                )
            ]
            models = [model.id for model in client.models.list()]
        text = chat.choices[0].message.content
        return "".join(parts), text, "".join(chunks), models

    @testing.on_reactor
    async def test_client_receives_exactly_the_generated_text(self):
        site = demo.LocalSite(reactor=self.reactor, gateways=1)
        await site.start()
        self.addCleanup(testing.run, site.close)
        url = site.list_urls()[0]
        # The client blocks, so it runs in a thread pool of its own.
        pool = threadpool.ThreadPool(minthreads=1, maxthreads=1)
        pool.start()
        self.addCleanup(pool.stop)
        streamed, chat, chunks, models = await threads.deferToThreadPool(
            self.reactor, pool, self.use_client, url
        )
        self.assertEqual(streamed, standins.generate_text("a valve leaks", 40))
        expected = standins.generate_text("user: hello", 9)
        self.assertEqual((chat, chunks), (expected, expected))
        self.assertEqual(models, ["writer"])
