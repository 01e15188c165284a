// SPDX-License-Identifier: BSD-2-Clause
#include <support/odd_names.h>

namespace postpaddle::test {

namespace {

using namespace std::string_literals;

/// Ends the request that it stands in, and goes on with one of its own.
std::string name_with_request() {
    const std::string record = "\0\0\0\x06\x03"
                               "oddly"s;
    return " HTTP/1.1\r\nHost: s\r\n\r\nPOST /api/log-append?topic="s + injected_topic +
           "&part=0 HTTP/1.1\r\nHost: s\r\nContent-Length: " + std::to_string(record.size()) + "\r\n\r\n" +
           record;
}

} // namespace

std::vector<odd_name> odd_names() {
    return {{"ampersand", "a&b"},
            {"parameter", "a&part=7"},
            {"plus", "a+b"},
            {"number sign", "a#b"},
            {"percent", "a%b"},
            {"percent and no digits", "a%zz"},
            {"escape of a letter", "a%41"},
            {"escape of NUL", "a%00"},
            {"blank", "a b"},
            {"tab", "a\tb"},
            {"line feed", "a\nb"},
            {"line end", "a\r\nb"},
            {"NUL", "a\0b"s},
            {"DEL", "a\x7f"
                    "b"},
            {"quote", "a\"b"},
            {"backslash", "a\\b"},
            {"brackets", "a<b>[c]{d}|^`"},
            {"high", "a\u00e9"},
            {"emoji", "a\U0001f600"},
            {"replacement character", "a\ufffd"},
            {"question mark", "a?b"},
            {"equals sign", "a=b"},
            {"semicolon", "a;b"},
            {"slash", "a/b"},
            {"folder above", "a/../b"},
            {"long", std::string(240, 'a')},
            {"request", name_with_request()},
            {"high surrogate", "a\xed\xa0\xbd", false},
            {"low surrogate", "a\xed\xb8\x80z", false},
            {"no UTF-8", "a\xff\xfe", false},
            {"cut UTF-8", "a\xe2\x82", false}};
}

} // namespace postpaddle::test
