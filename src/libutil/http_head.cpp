#include <dandeliontack/http_head.hpp>

#include <boost/beast/http.hpp>

namespace dandeliontack
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t usual_head_bytes = 512;

std::string_view version_text(unsigned version)
{
    return version == 10 ? "HTTP/1.0" : "HTTP/1.1";
}

template <class Message>
void append_fields(const Message& message, std::string& out)
{
    for (const auto& field : message)
    {
        out.append(field.name_string());
        out.append(": ");
        out.append(field.value());
        out.append("\r\n");
    }
    out.append("\r\n");
}

} // namespace

std::string head_of(const http_request& message)
{
    std::string out;
    out.reserve(usual_head_bytes);
    out.append(message.method_string());
    out.append(" ");
    out.append(message.target());
    out.append(" ").append(version_text(message.version())).append("\r\n");
    append_fields(message, out);
    return out;
}

std::string head_of(const http_response& message)
{
    std::string out;
    out.reserve(usual_head_bytes);
    out.append(version_text(message.version()));
    out.append(" ").append(std::to_string(message.result_int())).append(" ");
    out.append(
        message.reason().empty() ? http::obsolete_reason(message.result())
                                 : message.reason());
    out.append("\r\n");
    append_fields(message, out);
    return out;
}

} // namespace dandeliontack
