#include <dandeliontack/http.hpp>

#include <boost/json.hpp>

#include <utility>

namespace dandeliontack
{

namespace http = boost::beast::http;

std::string_view to_string(outcome value)
{
    return value == outcome::not_run ? "not-run" : "unknown";
}

http_response make_response(
    http::status status, std::string_view content_type, std::string body)
{
    http_response response{status, 11};
    response.set(
        http::field::content_type,
        boost::beast::string_view(content_type.data(), content_type.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response make_problem(
    http::status status, outcome result, std::string_view title,
    std::string_view detail)
{
    const boost::json::object document{
        {"type", "about:blank"},
        {"title", title},
        {"status", static_cast<unsigned>(status)},
        {"detail", detail},
        {"outcome", to_string(result)}};
    auto response = make_response(
        status, "application/problem+json", boost::json::serialize(document));
    response.set(outcome_header, std::string(to_string(result)));
    return response;
}

std::string query_value(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view()
                                               : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
    }
    return {};
}

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace dandeliontack
