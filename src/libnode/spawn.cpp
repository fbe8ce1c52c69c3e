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

// Pause before a failed coroutine is restarted.
constexpr auto restart_pause = 200ms;

void report_failure(
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

std::string error_text(const std::exception_ptr& error)
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

asio::awaitable<void> run_with_restarts(
    node_context& context, std::string_view name,
    std::function<asio::awaitable<void>()> make_task)
{
    bool failed = true;
    while (failed)
    {
        failed = false;
        try
        {
            co_await make_task();
        }
        catch (...)
        {
            failed = true;
            report_failure(context, name, error_text(std::current_exception()));
        }
        if (failed)
            co_await pause_for(context.executor, restart_pause);
    }
}

} // namespace

void spawn(
    node_context& context, std::string_view name, asio::awaitable<void> task,
    std::function<void()> on_failure)
{
    asio::co_spawn(
        context.executor, std::move(task),
        [&context, name = std::string(name),
         handler = std::move(on_failure)](const std::exception_ptr& error) {
            if (!error)
                return;
            report_failure(context, name, error_text(error));
            if (handler)
                handler();
        });
}

void spawn_with_restart(
    node_context& context, std::string_view name,
    std::function<asio::awaitable<void>()> make_task)
{
    spawn(
        context, name, run_with_restarts(context, name, std::move(make_task)));
}

} // namespace dandeliontack
