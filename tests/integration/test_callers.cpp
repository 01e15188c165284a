// SPDX-License-Identifier: BSD-2-Clause
#include <support/test_cluster.h>

#include <common/generated_text.h>
#include <wire/http_client.h>

#include <catch2/catch.hpp>

namespace {

using namespace postpaddle;
using namespace postpaddle::test;
using nlohmann::json;

/// Cluster for all cases of this file, none of which leaves faults behind.
stand_in::cluster& shared_cluster() {
    static stand_in::cluster cluster(small_cluster_options("callers", 2));
    static const bool is_published = cluster.publish(cluster_document());
    REQUIRE(is_published);
    cluster.wait_until_ready();
    return cluster;
}

const std::string& callers_address() { return shared_cluster().hosts[0].callers_address; }

wire::http_response send(const wire::http_request& request) {
    const auto response = stand_in::http_exchange(callers_address(), request);
    REQUIRE(response);
    return *response;
}

/// Checks that a response is a problem document with Postpaddle's headers; returns its body. Source: RFC
/// 9457.
json check_problem(const wire::http_response& response, int status, const std::string& outcome) {
    CHECK(response.status == status);
    CHECK(wire::find_header(response.headers, "Content-Type") == "application/problem+json");
    CHECK(wire::find_header(response.headers, "Postpaddle-Outcome") == outcome);
    CHECK_FALSE(wire::find_header(response.headers, "Postpaddle-Request-Id").empty());
    json body = json::parse(response.body);
    CHECK(body.at("status") == status);
    CHECK(body.at("outcome") == outcome);
    return body;
}

} // namespace

TEST_CASE("a streamed completion is complete, belongs to its request and names its engines") {
    const std::string prompt = make_prompt("streamed");
    const auto response = send(completion_request(prompt, 20));
    CHECK(response.status == 200);
    CHECK(streamed_text(response.body) == stand_in::expected_completion(prompt, 20));
    CHECK_THAT(response.body, Catch::EndsWith("data: [DONE]\n\n"));
    CHECK(wire::find_header(response.headers, "Postpaddle-Prefill").starts_with("p"));
    CHECK(wire::find_header(response.headers, "Postpaddle-Decode").starts_with("d"));
    CHECK(eventually([] { return shared_cluster().held_request_count() == 0; }));
}

TEST_CASE("tokens are relayed before the completion ends") {
    client_connection connection(callers_address(), completion_request(make_prompt("live"), 3000));
    const std::string early = connection.read_at_least(600);
    CHECK_THAT(early, Catch::Contains("data: "));
    CHECK_THAT(early, !Catch::Contains("[DONE]"));
    connection.drop();
    CHECK(eventually([] { return shared_cluster().held_request_count() == 0; }));
}

TEST_CASE("a completion and a chat completion without streaming are complete") {
    const std::string prompt = make_prompt("plain");
    const json answer = json::parse(send(completion_request(prompt, 12, false)).body);
    CHECK(answer.at("object") == "text_completion");
    CHECK(answer.at("choices").at(0).at("text") == stand_in::expected_completion(prompt, 12));

    const json body = {
        {"model", "m"}, {"max_tokens", 9}, {"messages", {{{"role", "user"}, {"content", "hello there"}}}}};
    const auto chat =
        send(wire::json_request("/v1/chat/completions", body.dump(), {{"Authorization", "Bearer left-key"}}));
    const json message = json::parse(chat.body);
    CHECK(message.at("object") == "chat.completion");
    CHECK(message.at("choices").at(0).at("message").at("content") ==
          stand_in::expected_completion("userhello there", 9));
}

TEST_CASE("a stream includes usage only if the request asks for it") {
    auto request = completion_request(make_prompt("usage"), 5);
    CHECK_THAT(send(request).body, !Catch::Contains("\"usage\":{"));
    json body = json::parse(request.body);
    body["stream_options"] = {{"include_usage", true}};
    request.body = body.dump();
    CHECK_THAT(send(request).body, Catch::Contains("\"usage\":{"));
}

TEST_CASE("a missing and a wrong API key get the same 401 response") {
    auto request = completion_request("x", 5);
    request.headers.clear();
    const json missing = check_problem(send(request), 401, "not-run");
    const json wrong = check_problem(send(completion_request("x", 5, true, "no-such-key")), 401, "not-run");
    CHECK(missing.at("detail") == wrong.at("detail"));
}

TEST_CASE("unknown models and paths get 404") {
    auto request = completion_request("x", 5);
    request.body = R"({"model": "other", "prompt": "x"})";
    check_problem(send(request), 404, "not-run");
    check_problem(send({"GET", "/nowhere", {{"Authorization", "Bearer left-key"}}, ""}), 404, "not-run");
}

TEST_CASE("malformed and invalid bodies get 400") {
    for (const char* const body :
         {"", "{", "[]", "{\"model\": 1}", "{\"model\": \"m\"}", "{\"model\": \"m\", \"prompt\": 5}",
          "{\"model\": \"m\", \"prompt\": \"x\", \"max_tokens\": 0}",
          "{\"model\": \"m\", \"prompt\": \"x\", \"max_tokens\": \"many\"}",
          "{\"model\": \"m\", \"prompt\": \"x\", \"n\": 2}",
          "{\"model\": \"m\", \"prompt\": \"x\", \"stream\": 7}",
          "{\"model\": \"m\", \"prompt\": \"x\", \"max_tokens\": -99999999999999999999}"}) {
        INFO(body);
        check_problem(
            send(wire::json_request("/v1/completions", body, {{"Authorization", "Bearer left-key"}})), 400,
            "not-run");
    }
    for (const char* const body :
         {"{\"model\": \"m\", \"messages\": []}", "{\"model\": \"m\", \"messages\": [4]}",
          "{\"model\": \"m\", \"messages\": [{\"role\": \"user\"}]}"}) {
        INFO(body);
        check_problem(
            send(wire::json_request("/v1/chat/completions", body, {{"Authorization", "Bearer left-key"}})),
            400, "not-run");
    }
}

// Guards against a host that a caller can end: copying and writing a deeply nested body exhausts its stack.
TEST_CASE("a deeply nested body gets 400, and the host serves on") {
    for (const std::size_t depth : {120'000, 300}) {
        auto request = completion_request(make_prompt("nested"), 20);
        const std::string levels(depth, '[');
        request.body.insert(1, "\"user\":" + levels + std::string(depth, ']') + ",");
        check_problem(send(request), 400, "not-run");
    }
    CHECK(send(completion_request(make_prompt("after"), 20)).status == 200);
}

TEST_CASE("prompts over the organisation's limit get 413") {
    check_problem(send(completion_request(make_prompt("long", 21'000), 5)), 413, "not-run");
}

TEST_CASE("bodies over the process's bound get 413, heads 431, and the connection is closed") {
    const std::string huge(300'000, 'x');
    CHECK_THAT(raw_exchange(callers_address(),
                            "POST /v1/completions HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + huge),
               Catch::StartsWith("HTTP/1.1 413"));
    CHECK_THAT(
        raw_exchange(callers_address(), "GET / HTTP/1.1\r\nX-Long: " + std::string(9'000, 'x') + "\r\n\r\n"),
        Catch::StartsWith("HTTP/1.1 431"));
}

TEST_CASE("an unknown transfer coding gets 400, and the bytes after it are not parsed as a request") {
    const std::string answers =
        raw_exchange(callers_address(), "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n"
                                        "GET /v1/other HTTP/1.1\r\n\r\n");
    CHECK_THAT(answers, Catch::StartsWith("HTTP/1.1 400"));
    CHECK(answers.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("bytes that are not HTTP get 400 and an incomplete request gets 408") {
    CHECK_THAT(raw_exchange(callers_address(), "this is no request\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 400"));
    CHECK_THAT(raw_exchange(callers_address(), "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nonly a part"),
               Catch::StartsWith("HTTP/1.1 408"));
}

TEST_CASE("an organisation over its concurrency limit gets 429 with Retry-After, others are served") {
    std::vector<std::unique_ptr<client_connection>> held;
    for (int index = 0; index < 2; ++index) {
        held.push_back(std::make_unique<client_connection>(
            callers_address(),
            completion_request(make_prompt("held" + std::to_string(index)), 4000, true, right_key)));
        held.back()->read_at_least(300);
    }
    const auto refused = send(completion_request(make_prompt("third"), 5, true, right_key));
    check_problem(refused, 429, "not-run");
    CHECK_FALSE(wire::find_header(refused.headers, "Retry-After").empty());
    CHECK(send(completion_request(make_prompt("other"), 5)).status == 200);
    held.clear();
    CHECK(eventually([] { return shared_cluster().held_request_count() == 0; }));
}

TEST_CASE("a request to a plain service is forwarded and its response has a request id") {
    const auto response =
        send(wire::json_request("/items/list", "{}", {{"Authorization", "Bearer left-key"}}));
    CHECK(response.status == 200);
    CHECK(json::parse(response.body).at("path") == "/items/list");
    CHECK_FALSE(wire::find_header(response.headers, "Postpaddle-Request-Id").empty());
}

TEST_CASE("a non-repeatable request runs once, however often and at whichever host it arrives") {
    const std::string key = generate_uuid7();
    auto request = wire::json_request("/trades/1", "{\"item\": 1}",
                                      {{"Authorization", "Bearer left-key"}, {"Idempotency-Key", key}});
    CHECK(send(request).status == 200);
    const auto& hosts = shared_cluster().hosts;
    for (const auto& host : hosts) {
        const auto again = stand_in::http_exchange(host.callers_address, request);
        REQUIRE(again);
        const json body = check_problem(*again, 409, "unknown");
        CHECK_FALSE(body.at("first_request_id").get<std::string>().empty());
    }
    CHECK(eventually([&] {
        const auto again = stand_in::http_exchange(hosts[1].callers_address, request);
        return json::parse(again->body).value("first_outcome", "") == "succeeded";
    }));
    request.body = "{\"item\": 2}";
    check_problem(send(request), 422, "not-run");
    CHECK(shared_cluster().counters("s1").at("runs").at(key) == 1);
}

TEST_CASE("a non-repeatable request needs an idempotency key with a valid timestamp") {
    for (const char* const key :
         {"abc", "123e4567-e89b-42d3-a456-426614174000", "ffffffff-ffff-7fff-8fff-ffffffffffff"}) {
        const auto request = wire::json_request(
            "/trades/1", "{}", {{"Authorization", "Bearer left-key"}, {"Idempotency-Key", key}});
        check_problem(send(request), 400, "not-run");
    }
}

TEST_CASE("the operators' address requires its token, explains requests and exposes no secrets or prompts") {
    const std::string& operators_address = shared_cluster().hosts[0].operators_address;
    CHECK(stand_in::http_exchange(operators_address, wire::get_request("/healthz"))->status == 200);
    for (const char* const target : {"/state", "/metrics", "/explain?id=x"})
        CHECK(stand_in::http_exchange(operators_address, wire::get_request(target))->status == 401);
    const wire::http_headers token = {{"Authorization", std::string("Bearer ") + stand_in::operators_token}};
    const auto answer = send(completion_request(make_prompt("explained"), 5));
    const std::string id(wire::find_header(answer.headers, "Postpaddle-Request-Id"));
    const auto explanation = stand_in::get_json(operators_address, "/explain?id=" + id, token);
    CHECK(explanation.at("organisation") == "/left");
    CHECK_FALSE(explanation.at("weighed").empty());
    const auto metrics = stand_in::http_exchange(operators_address, wire::get_request("/metrics", token));
    CHECK_THAT(metrics->body,
               Catch::Contains("postpaddle_first_token_seconds{organisation=\"/left\",quantile=\"0.95\"}"));
    const auto dump = stand_in::http_exchange(operators_address, wire::get_request("/state", token));
    CHECK_THAT(dump->body, !Catch::Contains("left-key") && !Catch::Contains("operators-token") &&
                               !Catch::Contains("explained"));
}
