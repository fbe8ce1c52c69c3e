#include <dandeliontack/request_fields.hpp>
#include <dandeliontack/request_target.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace
{

using namespace dandeliontack;
namespace http = boost::beast::http;

std::optional<request_options>
options_of(http::verb method, const char* name, const std::string& value)
{
    http_request request{method, "/", 11};
    request.set(name, value);
    const char* bad = nullptr;
    auto options = parse_options(request, bad);
    EXPECT_EQ(options.has_value(), bad == nullptr);
    return options;
}

TEST(request_fields, methods_have_their_usual_idempotency)
{
    EXPECT_FALSE(options_of(http::verb::post, "x", "")->idempotent);
    EXPECT_FALSE(options_of(http::verb::patch, "x", "")->idempotent);
    EXPECT_TRUE(options_of(http::verb::put, "x", "")->idempotent);
    EXPECT_TRUE(
        options_of(http::verb::post, idempotent_header, "yes")->idempotent);
    EXPECT_FALSE(
        options_of(http::verb::get, idempotent_header, "no")->idempotent);
}

TEST(request_fields, a_field_that_comes_twice_is_refused)
{
    http_request request;
    request.insert(class_header, "urgent");
    request.insert(class_header, "urgent");
    const char* bad = nullptr;
    EXPECT_FALSE(parse_options(request, bad));
    EXPECT_STREQ(bad, class_header);
}

TEST(request_fields, only_fields_of_the_connection_are_stripped)
{
    http_request request;
    request.set(
        http::field::connection,
        "close, x-private, host, content-length, tack-ticket");
    for (const auto* name :
         {"x-private", "host", "content-length", "tack-ticket", "expect", "te",
          "transfer-encoding", "accept"})
        request.set(name, "1");
    strip_connection_fields(request);
    for (const auto* name :
         {"connection", "x-private", "expect", "te", "transfer-encoding"})
        EXPECT_EQ(request.count(name), 0U) << name;
    for (const auto* name : {"host", "content-length", "tack-ticket", "accept"})
        EXPECT_EQ(request.count(name), 1U) << name;
}

// Whatever a caller sends is refused or within its bounds.
RC_GTEST_PROP(request_fields, any_value_is_refused_or_bounded, ())
{
    const auto value = *rc::gen::oneOf(
        rc::gen::string<std::string>(),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t n) {
            return std::to_string(n);
        }));
    const auto* name = *rc::gen::element(
        deadline_header, version_header, class_header, idempotent_header);
    const auto options = options_of(http::verb::get, name, value);
    if (options && options->deadline)
    {
        RC_ASSERT(options->deadline->count() >= 1);
        RC_ASSERT(options->deadline->count() <= 3'600'000);
    }
    if (options)
        RC_ASSERT(options->schema_version >= 1U);
}

RC_GTEST_PROP(request_target, a_parsed_target_is_what_was_sent, ())
{
    const auto target = *rc::gen::map(
        rc::gen::string<std::string>(),
        [](const std::string& rest) { return "/services/" + rest; });
    const auto parsed = parse_target(target);
    if (!parsed)
        return;
    RC_ASSERT(!parsed->service.empty());
    RC_ASSERT(parsed->service.find('/') == std::string::npos);
    RC_ASSERT(parsed->path.starts_with('/'));
    const auto joined = "/services/" + parsed->service + parsed->path;
    const auto without_slash =
        "/services/" + parsed->service + parsed->path.substr(1);
    const bool same = joined == target || without_slash == target;
    RC_ASSERT(same);
}

} // namespace
