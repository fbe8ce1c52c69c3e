#include <dandeliontack/api_access.hpp>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace dandeliontack
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t shortest_secret = 16;
constexpr std::string_view scheme = "Bearer ";
constexpr std::string_view every_team = "*";

// Takes the same time wherever the texts differ.
bool equal_secrets(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    return difference == 0;
}

std::string_view secret_of(const http_request& request)
{
    const auto found = request.find(http::field::authorization);
    if (found == request.end())
        return {};
    const std::string_view value(found->value().data(), found->value().size());
    return value.starts_with(scheme) ? value.substr(scheme.size())
                                     : std::string_view();
}

std::string path_of(const http_request& request)
{
    return std::string(
        target_path({request.target().data(), request.target().size()}));
}

http_response refuse_access(bool has_token)
{
    if (has_token)
        return make_problem(
            http::status::forbidden, outcome::not_run, "not allowed",
            "the token is for one team only");
    auto response = make_problem(
        http::status::unauthorized, outcome::not_run, "token needed",
        "send a token of [api] tokens as Authorization: Bearer SECRET");
    response.set(http::field::www_authenticate, "Bearer");
    return response;
}

} // namespace

std::optional<api_token> parse_api_token(std::string_view text)
{
    const auto first = text.find(':');
    const auto last = text.rfind(':');
    if (first == std::string_view::npos || first == last)
        return std::nullopt;
    api_token token{
        std::string(text.substr(0, first)),
        std::string(text.substr(first + 1, last - first - 1)),
        std::string(text.substr(last + 1))};
    if (token.name.empty() || token.team.empty() ||
        token.secret.size() < shortest_secret)
        return std::nullopt;
    if (token.team == every_team)
        token.team.clear();
    return token;
}

void check_tokens(
    const ini_document& document, const api_settings& settings, findings& found)
{
    const auto* section = document.find("api");
    const auto add = [&](std::size_t number, const std::string& what) {
        found.push_back(
            {document.file, section ? section->line : 0, "api.tokens",
             "token " + std::to_string(number) + " " + what});
    };
    std::set<std::string> secrets;
    std::size_t number = 0;
    for (const auto& text : settings.tokens)
    {
        ++number;
        const auto token = parse_api_token(text);
        if (!token)
            add(number,
                "must be NAME:SECRET:TEAM or NAME:SECRET:*, the secret at "
                "least 16 characters");
        else if (!secrets.insert(token->secret).second)
            add(number, "has the secret of another token");
    }
}

std::optional<api_access>
access_of(const api_settings& settings, const http_request& request)
{
    if (settings.open)
        return api_access{};
    const auto secret = secret_of(request);
    for (const auto& text : settings.tokens)
    {
        const auto token = parse_api_token(text);
        if (token && equal_secrets(token->secret, secret))
            return api_access{token->team};
    }
    return std::nullopt;
}

http_server::handler
with_tokens(const api_settings& settings, http_server::handler next)
{
    return [&settings, next = std::move(next)](
               http_request request) -> boost::asio::awaitable<http_response> {
        const auto path = path_of(request);
        const bool health = path == "/healthz" || path == "/readyz";
        const auto access = access_of(settings, request);
        const bool enough =
            access && (path != "/metrics" || access->sees_all());
        if (!health && !enough)
            co_return refuse_access(access.has_value());
        co_return co_await next(std::move(request));
    };
}

} // namespace dandeliontack
