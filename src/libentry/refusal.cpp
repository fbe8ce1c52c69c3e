#include <dandeliontack/refusal.hpp>

#include <string>

namespace dandeliontack
{

http_response refuse(
    metric_registry& metrics, boost::beast::http::status status, outcome result,
    std::string_view title, std::string_view detail)
{
    const auto kind = std::string(to_string(result));
    metrics.get_counter("tack_refusals_total{outcome=\"" + kind + "\"}").add();
    return make_problem(status, result, title, detail);
}

} // namespace dandeliontack
