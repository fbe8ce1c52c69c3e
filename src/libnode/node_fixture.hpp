#pragma once

#include <dandeliontack/node_context.hpp>

#include <boost/asio/io_context.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace dandeliontack::test
{

/// Provides a node context whose log is written to /dev/null.
class node_fixture : public testing::Test
{
protected:
    node_fixture()
        : null_device_(::open("/dev/null", O_WRONLY)),
          log_("node", null_device_, {})
    {}

    ~node_fixture() override
    {
        ::close(null_device_);
    }

    boost::asio::io_context context_{1};

private:
    int null_device_;
    event_log log_;
    metric_registry metrics_;
    http_pool connections_{context_.get_executor(), {}};

protected:
    tack_node_settings settings_;
    node_context node_{context_.get_executor(),
                       settings_,
                       log_,
                       metrics_,
                       connections_,
                       {},
                       {},
                       {}};
};

} // namespace dandeliontack::test
