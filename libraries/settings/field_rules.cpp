// SPDX-License-Identifier: BSD-2-Clause
#include <settings/field_rules.h>

#include <boost/algorithm/string.hpp>
#include <boost/lexical_cast.hpp>

#include <cstdint>

namespace postpaddle::settings {

namespace {

bool matches(const std::string& pattern, std::string_view path) {
    const auto star = pattern.find('*');
    if (star == std::string::npos)
        return pattern == path;
    const std::string_view head = std::string_view(pattern).substr(0, star);
    const std::string_view tail = std::string_view(pattern).substr(star + 1);
    if (path.size() <= head.size() + tail.size() || !path.starts_with(head) || !path.ends_with(tail))
        return false;
    const auto middle = path.substr(head.size(), path.size() - head.size() - tail.size());
    return tail.empty() || middle.find('.') == std::string_view::npos;
}

std::vector<field_rule> make_rules() {
    static constexpr double million = 1e6;
    static constexpr double billion = 1e9;
    using enum field_kind;
    const field_cap capped = field_cap::at_most_parent;
    return {
        {"priority", integer, 0, 9, "5", field_cap::free},
        {"weight", number, 0.01, 1000, "1", field_cap::free},
        {"waste_weight", number, 0, 1, "0.5", field_cap::free},
        {"targets.first_token_ms", number, 1, million, "570", field_cap::free},
        {"targets.per_token_ms", number, 0.1, million, "34", field_cap::free},
        {"limits.requests_per_second", number, 0, million, "100", capped},
        {"limits.concurrent_requests", integer, 0, million, "256", capped},
        {"limits.prompt_tokens_per_second", number, 0, billion, "1000000", capped},
        {"limits.max_prompt_tokens", integer, 1, million, "65536", capped},
        {"limits.max_output_tokens", integer, 1, million, "4096", capped},
        {"limits.queue_ms", number, 0, million, "2000", field_cap::free},
        {"models.*", deployment, 0, 0, "", field_cap::free},
        {"routes.*.prefix", text, 0, 0, "", field_cap::free},
        {"routes.*.upstreams", upstreams, 0, 0, "", field_cap::free},
        {"routes.*.repeatable", flag, 0, 0, "true", field_cap::free},
        {"routes.*.timeout_ms", number, 1, million, "5000", field_cap::free},
    };
}

std::string number_range(const field_rule& rule) {
    return "between " + boost::lexical_cast<std::string>(rule.min) + " and " +
           boost::lexical_cast<std::string>(rule.max);
}

} // namespace

const std::vector<field_rule>& field_rules() {
    static const std::vector<field_rule> rules = make_rules();
    return rules;
}

const field_rule* find_rule(std::string_view path) {
    for (const field_rule& rule : field_rules())
        if (matches(rule.path, path))
            return &rule;
    return nullptr;
}

std::string mismatch(const field_rule& rule, const std::string& text) {
    double number = 0;
    std::int64_t whole = 0;
    switch (rule.kind) {
    case field_kind::number:
        if (boost::conversion::try_lexical_convert(text, number) && number >= rule.min && number <= rule.max)
            return {};
        return "a number " + number_range(rule);
    case field_kind::integer:
        if (boost::conversion::try_lexical_convert(text, whole) && static_cast<double>(whole) >= rule.min &&
            static_cast<double>(whole) <= rule.max)
            return {};
        return "a whole number " + number_range(rule);
    case field_kind::flag:
        return text == "true" || text == "false" ? "" : "true or false";
    case field_kind::text:
    case field_kind::deployment:
    case field_kind::upstreams:
        return text.empty() ? "text" : "";
    }
    return {};
}

} // namespace postpaddle::settings
