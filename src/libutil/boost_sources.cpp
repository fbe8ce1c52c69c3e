// The separately compiled parts of Asio, Beast and JSON.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
