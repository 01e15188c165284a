// SPDX-License-Identifier: BSD-2-Clause
#include <support/broken_answers.h>

#include <initializer_list>

namespace postpaddle::test {

namespace {

using strings = std::initializer_list<std::string>;

const std::string fields = "X-Attempt-Id: @ID@\r\nX-Response-Seal: seal.@INSTANCE@.@ID@\r\n";
constexpr std::size_t sound_bytes = 1'160;
constexpr std::size_t cut_bytes = 500;

std::string length_field(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }

std::string with_length(const std::string& status, const std::string& body) {
    return sealed_head(status, length_field(body.size())) + body;
}

std::string in_chunks(const std::string& body) {
    constexpr int hexadecimal = 16;
    std::string size;
    for (std::size_t rest = body.size(); rest > 0; rest /= hexadecimal)
        size.insert(size.begin(), "0123456789abcdef"[rest % hexadecimal]);
    return size + "\r\n" + body + "\r\n0\r\n\r\n";
}

/// A head without fields.
std::string bare_head(const std::string& status) {
    std::string line = "HTTP/1.1 ";
    return line.append(status).append("\r\n\r\n");
}

std::string hidden_answer() { return with_length("200 OK", hidden_body); }

answer_kind closed(std::string name, std::string text) {
    return {.name = std::move(name),
            .answer = {.parts = {std::move(text)}, .ending = connection_ending::close}};
}

/// Answers without a length that end with their connection, which ends otherwise than in order.
void add_cut_ones(std::vector<answer_kind>& kinds) {
    const std::string part = sound_body().substr(0, cut_bytes);
    const std::vector<std::pair<std::string, std::vector<std::string>>> answers = {
        {"nothing", {}},
        {"a part of a head", {sealed_head("200 OK").substr(0, 30)}},
        {"a part of a body with a length", {with_length("200 OK", sound_body()).substr(0, cut_bytes)}},
        {"a part of a body", {sealed_head("200 OK") + part}},
        {"a head", {sealed_head("200 OK")}},
        {"a part of a body, announced to end with the connection",
         {sealed_head("200 OK", "Connection: close\r\n") + part}},
        {"a part of a body of HTTP/1.0", {sealed_head("200 OK", "", "HTTP/1.0") + part}},
        {"a head, then a part of a body", {sealed_head("200 OK"), part}},
        {"a part of a failure", {sealed_head("500 Internal Server Error") + part}},
        {"a part of a body after an informational answer",
         {"HTTP/1.1 103 Early Hints\r\n\r\n" + sealed_head("200 OK") + part}},
    };
    for (const auto& [name, parts] : answers)
        for (const auto request : {request_size::small, request_size::large})
            kinds.push_back({.name = name + ", then a reset",
                             .answer = {.parts = parts, .ending = connection_ending::reset},
                             .request = request});
    // The client's system gives the connection up after a time.
    kinds.push_back({.name = "a part of a body, then nothing",
                     .answer = {.parts = {sealed_head("200 OK") + part}, .ending = connection_ending::none},
                     .request = request_size::large});
}

/// Heads whose status is that of no answer, with an answer behind them or in their body.
void add_odd_statuses(std::vector<answer_kind>& kinds) {
    const std::string hidden = hidden_answer();
    for (const std::string& status :
         strings{"000 Status", "001 Status", "099 Status", "101 Status", "600 Status", "999 Status"}) {
        kinds.push_back(closed(status, with_length(status, sound_body())));
        kinds.push_back(closed(status + ", an answer as its body", with_length(status, hidden)));
        kinds.push_back(
            closed(status + ", an answer as its body without a length", sealed_head(status) + hidden));
        kinds.push_back(closed(status + " without fields, then an answer", bare_head(status) + hidden));
    }
    for (const std::string& status : strings{"100 Continue", "103 Early Hints"}) {
        const std::string chunked = sealed_head(status, "Transfer-Encoding: chunked\r\n");
        kinds.push_back(
            closed(status + " with a length, an answer as its body", with_length(status, hidden)));
        kinds.push_back(closed(status + " with chunks, an answer in them", chunked + in_chunks(hidden)));
        kinds.push_back(closed(status + " with chunks, then an answer", chunked + hidden));
    }
    for (const std::string& status : strings{"20", "2000", "2x0", "-200", ""})
        kinds.push_back(closed("status '" + status + "'", with_length(status + " OK", sound_body())));
    kinds.push_back(
        closed("HTTP/2.0", sealed_head("200 OK", length_field(sound_bytes), "HTTP/2.0") + sound_body()));
}

/// Bodies in codings that nobody asked for, and lengths that don't say where they end.
void add_odd_framings(std::vector<answer_kind>& kinds) {
    for (const std::string& codings :
         strings{"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n",
                 "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: \r\n"})
        kinds.push_back(closed(codings, sealed_head("200 OK", codings) + in_chunks(sound_body())));
    const std::string length = std::to_string(sound_bytes);
    for (const std::string& lengths :
         strings{length_field(sound_bytes) + length_field(sound_bytes - 1),
                 length_field(sound_bytes) + "Transfer-Encoding: chunked\r\n",
                 "Content-Length: +" + length + "\r\n", "Content-Length: -" + length + "\r\n",
                 "Content-Length: 0x488\r\n", "Content-Length: \r\n",
                 "Content-Length: " + length + ", " + std::to_string(sound_bytes - 1) + "\r\n",
                 "Content-Length: 99999999999999999999999\r\n", length_field(sound_bytes + 1)})
        kinds.push_back(closed(lengths, sealed_head("200 OK", lengths) + sound_body()));
    const std::string chunked = sealed_head("200 OK", "Transfer-Encoding: chunked\r\n");
    for (const std::string& chunks : strings{"488\r\n" + sound_body(), "488\r\n" + sound_body() + "\r\n0\r\n",
                                             "xyz\r\n" + sound_body() + "\r\n0\r\n\r\n", "5\r\nanswer\r\n"})
        kinds.push_back(closed("chunks that begin with " + chunks.substr(0, 5), chunked + chunks));
}

/// Heads with a byte where none of its kind may stand.
void add_odd_fields(std::vector<answer_kind>& kinds) {
    const std::vector<std::pair<std::string, std::string>> bytes = {
        {"a blank", " "},        {"a tab", "\t"},        {"a control byte", "\x01"},
        {"NUL", {"\0", 1}},      {"DEL", "\x7f"},        {"a high byte", "\x80"},
        {"a bare return", "\r"}, {"a parenthesis", "("}, {"a quote", "\""}};
    for (const auto& [name, byte] : bytes) {
        const std::string within = "X-Fi" + byte + "eld: value\r\n";
        const std::string before_colon = "X-Field" + byte + ": value\r\n";
        for (const std::string& line : {within, before_colon}) {
            const std::string where = name + (line == within ? " in" : " behind") + " a field's name";
            kinds.push_back(
                closed(where, sealed_head("200 OK", length_field(sound_bytes) + line) + sound_body()));
            kinds.push_back(closed(where + ", without a length", sealed_head("200 OK", line) + sound_body()));
            const std::string first = line + fields;
            kinds.push_back(
                closed(where + " of the first line",
                       "HTTP/1.1 200 OK\r\n" + first + length_field(sound_bytes) + "\r\n" + sound_body()));
            kinds.push_back(closed(where + " of the trailer",
                                   sealed_head("200 OK", "Transfer-Encoding: chunked\r\n") + "488\r\n" +
                                       sound_body() + "\r\n0\r\n" + line + "\r\n"));
        }
    }
    for (const std::string& line :
         {std::string("X-Field: va\x01lue\r\n"), std::string("X-Field: va\x7flue\r\n"),
          std::string("X-Field: va\0lue\r\n", 17), std::string("X-Field: va\rlue\r\n"),
          std::string(": value\r\n"), std::string("X-Field value\r\n")})
        kinds.push_back(closed("the line " + line,
                               sealed_head("200 OK", length_field(sound_bytes) + line) + sound_body()));
}

} // namespace

std::string sealed_head(const std::string& status, const std::string& more, const char* version) {
    return std::string(version) + " " + status + "\r\n" + fields + more + "\r\n";
}

std::string request_body(request_size size) {
    constexpr std::size_t small_bytes = 16;
    return std::string(size == request_size::large ? unsendable_bytes() : small_bytes, 'x');
}

std::string sound_body() {
    std::string body;
    while (body.size() < sound_bytes)
        body += "sound ";
    body.resize(sound_bytes);
    return body;
}

std::vector<answer_kind> broken_answers() {
    std::vector<answer_kind> kinds;
    add_cut_ones(kinds);
    add_odd_statuses(kinds);
    add_odd_framings(kinds);
    add_odd_fields(kinds);
    for (const std::string& text : {std::string(), std::string("noise"), sealed_head("200 OK").substr(0, 30),
                                    with_length("200 OK", sound_body()).substr(0, cut_bytes)})
        for (const auto ending : {connection_ending::close, connection_ending::reset})
            kinds.push_back({.name = std::to_string(text.size()) + " bytes, then " + to_text(ending),
                             .answer = {.parts = {text}, .ending = ending}});
    return kinds;
}

std::vector<answer_kind> sound_answers() {
    const std::string unframed = sealed_head("200 OK") + sound_body();
    const std::string framed = with_length("200 OK", sound_body());
    std::vector<answer_kind> kinds = {
        closed("two equal lengths",
               sealed_head("200 OK", length_field(sound_bytes) + length_field(sound_bytes)) + sound_body()),
        closed("chunks, and an empty coding",
               sealed_head("200 OK", "Transfer-Encoding: chunked,\r\n") + in_chunks(sound_body())),
        closed("chunks of HTTP/1.0",
               sealed_head("200 OK", "Transfer-Encoding: chunked\r\n", "HTTP/1.0") + in_chunks(sound_body())),
        closed("no length, of HTTP/1.0", sealed_head("200 OK", "", "HTTP/1.0") + sound_body()),
        closed("status 100 with an empty body",
               "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + framed)};
    for (const auto request : {request_size::small, request_size::large}) {
        for (const auto ending : {connection_ending::close, connection_ending::close_after_upload,
                                  connection_ending::close_then_reset}) {
            kinds.push_back({.name = std::string("no length, then ") + to_text(ending),
                             .answer = {.parts = {unframed}, .ending = ending},
                             .request = request});
            kinds.push_back({.name = std::string("no length, in parts, then ") + to_text(ending),
                             .answer = {.parts = {sealed_head("200 OK"), sound_body()}, .ending = ending},
                             .request = request});
        }
        for (const std::string& before :
             strings{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"})
            for (const std::string& answer :
                 {framed, sealed_head("200 OK", "Transfer-Encoding: chunked\r\n") + in_chunks(sound_body()),
                  sealed_head("200 OK", "Transfer-Encoding: Chunked\r\n") + in_chunks(sound_body())})
                kinds.push_back({.name = "framed, then a reset, behind '" + before + "'",
                                 .answer = {.parts = {before + answer}, .ending = connection_ending::reset},
                                 .request = request});
    }
    return kinds;
}

} // namespace postpaddle::test
