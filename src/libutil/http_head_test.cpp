#include <dandeliontack/http_head.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <sstream>

namespace
{

using namespace dandeliontack;
namespace http = boost::beast::http;

// The library's own serializer says what the bytes are to be.
template <class Message>
std::string serialized(const Message& message)
{
    std::ostringstream out;
    out << message;
    return out.str();
}

TEST(http_head, matches_the_serializer)
{
    http_request request{http::verb::patch, "/a?b=c", 11};
    request.set(http::field::host, "h:1");
    request.insert("x-twice", "1");
    request.insert("x-twice", "2");
    request.body() = "body";
    request.prepare_payload();
    EXPECT_EQ(head_of(request) + request.body(), serialized(request));
    for (const auto status :
         {http::status::ok, http::status::no_content, http::status::conflict})
    {
        auto response = make_response(status, "text/plain", "");
        response.keep_alive(false);
        EXPECT_EQ(head_of(response), serialized(response));
    }
    EXPECT_TRUE(head_of(http_response(http::status::ok, 10))
                    .starts_with("HTTP/1.0 200 OK\r\n"));
}

} // namespace
