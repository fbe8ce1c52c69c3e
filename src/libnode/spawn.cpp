#include <dandeliontack/pause.hpp>
#include <dandeliontack/spawn.hpp>

#include <boost/asio.hpp>

#include <exception>
#include <string>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Before a part that failed begins anew.
constexpr auto restart_pause = 200ms;

void report(
    node_context& context, std::string_view name, std::string_view reason)
{
    context.log.write(
        "node", "task_failed",
        log_line().add("task", name).add("reason", reason));
    context.metrics
        .get_counter(
            "tack_task_failures_total{task=\"" + std::string(name) + "\"}")
        .add();
}

std::string reason_of(const std::exception_ptr& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (const std::exception& e)
    {
        return e.what();
    }
    catch (...)
    {
        return "an exception of an unknown type";
    }
}

asio::awaitable<void> run_for_good(
    node_context& context, std::string_view name,
    std::function<asio::awaitable<void>()> make)
{
    bool failed = true;
    while (failed)
    {
        failed = false;
        try
        {
            co_await make();
        }
        catch (...)
        {
            failed = true;
            report(context, name, reason_of(std::current_exception()));
        }
        if (failed)
            co_await pause_for(context.executor, restart_pause);
    }
}

} // namespace

void spawn(
    node_context& context, std::string_view name, asio::awaitable<void> task,
    std::function<void()> after_failure)
{
    asio::co_spawn(
        context.executor, std::move(task),
        [&context, name = std::string(name),
         after = std::move(after_failure)](const std::exception_ptr& error) {
            if (!error)
                return;
            report(context, name, reason_of(error));
            if (after)
                after();
        });
}

void spawn_for_good(
    node_context& context, std::string_view name,
    std::function<asio::awaitable<void>()> make)
{
    spawn(context, name, run_for_good(context, name, std::move(make)));
}

} // namespace dandeliontack
