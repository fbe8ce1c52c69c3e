#include "collect.hpp"

#include <dandeliontack/http_get.hpp>

#include <boost/beast/http.hpp>

#include <fstream>
#include <stdexcept>
#include <thread>

namespace dandeliontack::tack_report
{

namespace
{

std::string ask(const collection& wanted, const report_source& source)
{
    const auto page = [&](const char* target) {
        return page_request{
            source.address, target, wanted.token, wanted.timeout};
    };
    const auto status = get_json_page(page("/v1/status"));
    const auto metrics =
        status ? get_page(page("/metrics")) : std::optional<http_response>();
    const bool whole =
        metrics && metrics->result() == boost::beast::http::status::ok;
    return to_line(
        std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now()),
        source.address, source.role, whole ? metrics->body() : std::string(),
        whole ? *status : boost::json::object());
}

void keep(const std::string& path, const std::string& lines)
{
    if (path.empty())
        return;
    std::ofstream file(path, std::ios::app);
    file << lines;
    if (!file.flush())
        throw std::runtime_error("can't write the samples file " + path);
}

} // namespace

std::vector<process_sample> collect(const collection& wanted)
{
    std::string lines;
    for (unsigned round = 0; round < wanted.rounds; ++round)
    {
        if (round != 0)
            std::this_thread::sleep_for(wanted.interval);
        for (const auto& source : wanted.sources)
            lines += ask(wanted, source);
    }
    if (lines.empty())
        return {};
    keep(wanted.samples_file, lines);
    return std::get<std::vector<process_sample>>(
        parse_samples("samples", lines));
}

} // namespace dandeliontack::tack_report
