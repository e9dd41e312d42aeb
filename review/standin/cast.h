#pragma once

#include "rattanbeam/decisions/session/homeplan.h"

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace review
{

/// Names of a day's instances and service, and who is the service's home with them, and who its substitute.
struct Cast {
    std::vector<std::pair<std::string, std::string>> instances;
    std::string service;
    std::string home;
    std::string substitute;
};

/// Names are new each day. Looks for ones with which home, substitute and relays suit the case.
inline Cast chooseNames(const std::vector<std::string> &zones,
                        const std::function<bool(const rattanbeam::decisions::session::HomeRanking &ranking,
                                                 const std::vector<rattanbeam::decisions::session::InstanceRecord> &relays)> &suits)
{
    using namespace rattanbeam::decisions;
    for (int day = 1; day < 4000; ++day) {
        Cast cast;
        const std::string suffix = std::to_string(day);
        cast.service = "pedidos-" + suffix;
        std::vector<session::InstanceRecord> records;
        for (std::size_t i = 0; i < zones.size(); ++i) {
            const std::string name = "edge-" + std::to_string(i + 1) + '-' + suffix;
            cast.instances.emplace_back(name, zones[i]);
            records.push_back({InstanceId(name), "", FailureDomain(zones[i]), 0, false, 250});
        }
        const auto plan = session::planHomes({session::ServiceName(cast.service)}, records);
        const auto &ranking = plan.begin()->second;
        if (suits(ranking, session::planRelays(plan, records))) {
            cast.home = ranking[0].id.text();
            cast.substitute = ranking[1].id.text();
            return cast;
        }
    }
    throw std::runtime_error("no such names");
}

} // namespace review
