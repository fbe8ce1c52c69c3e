#pragma once

#include <dandeliontack/http.hpp>
#include <dandeliontack/metrics.hpp>

#include <string_view>

namespace dandeliontack
{

/// Makes a problem document and counts it as `tack_refusals_total` by its
/// outcome.
http_response refuse(
    metric_registry& metrics, boost::beast::http::status status, outcome result,
    std::string_view title, std::string_view detail);

} // namespace dandeliontack
