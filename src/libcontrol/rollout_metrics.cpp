#include <dandeliontack/rollout_metrics.hpp>

#include <algorithm>

namespace dandeliontack
{

void record_rollout(control_node& node, metric_registry& metrics)
{
    auto& times = metrics.get_summary("tack_rollout_seconds");
    node.on_applied([&node, &times](const event& e, const effects& todo) {
        if (!node.ready() || !find_effect<config_accepted>(todo))
            return;
        const std::chrono::nanoseconds passed =
            std::chrono::system_clock::now() - e.time;
        times.record(std::max(passed, std::chrono::nanoseconds{}));
    });
}

} // namespace dandeliontack
