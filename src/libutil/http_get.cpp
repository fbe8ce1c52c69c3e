#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/http_get.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <stdexcept>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

http_request to_http(const page_request& page)
{
    http_request request{http::verb::get, page.target, 11};
    request.set(http::field::host, to_string(page.address));
    if (!page.token.empty())
        request.set(http::field::authorization, "Bearer " + page.token);
    return request;
}

std::optional<http_response> get_page(const page_request& page)
{
    asio::io_context context(1);
    http_connection connection(context.get_executor(), page.address);
    exchange_result result = exchange_error{};
    asio::co_spawn(
        context, connection.exchange(to_http(page), page.timeout),
        [&](std::exception_ptr, exchange_result got) {
            result = std::move(got);
        });
    context.run();
    if (auto* response = std::get_if<http_response>(&result))
        return std::move(*response);
    return std::nullopt;
}

std::optional<boost::json::object> get_json_page(const page_request& page)
{
    const auto response = get_page(page);
    if (!response || response->result() != http::status::ok)
        return std::nullopt;
    boost::system::error_code ec;
    auto parsed = boost::json::parse(response->body(), ec);
    if (ec || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.as_object());
}

std::string read_token_file(const std::string& path)
{
    if (path.empty())
        return {};
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token))
        throw std::runtime_error("can't read the token file " + path);
    return token;
}

} // namespace dandeliontack
