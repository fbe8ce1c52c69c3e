#include <dandeliontack/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace dandeliontack
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(std::string(host), ec);
    std::uint16_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return endpoint{std::string(host), port};
}

std::string to_string(const endpoint& value)
{
    const bool v6 = value.address.find(':') != std::string::npos;
    const auto host = v6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

} // namespace dandeliontack
