#include "sequoiastage/config/ejections.h"

#include <set>
#include <utility>

namespace sequoiastage {

namespace {

size_t CountInstances(const std::vector<InstanceRun>& runs) {
  std::set<InstanceId> instances;
  for (const InstanceRun& run : runs) {
    instances.insert(run.m_instance);
  }
  return instances.size();
}

std::string DescribeVersion(std::optional<LogOffset> version) {
  return version ? std::to_string(version->Get()) : "none";
}

std::optional<std::string> FindFault(const EjectionGrant& grant,
                                     uint32_t floor,
                                     const ServiceEjections& ejections) {
  if (grant.m_from != ejections.m_version) {
    return "made from version " + DescribeVersion(grant.m_from) +
           " of the ejections, in force is " +
           DescribeVersion(ejections.m_version);
  }
  if (ejections.IsEjected(grant.m_target)) {
    return "the instance is ejected already";
  }
  for (const InstanceRun& run : grant.m_remaining) {
    if (run.m_instance == grant.m_target.m_instance) {
      return "the instance is named as remaining itself";
    }
    if (ejections.IsEjected(run)) {
      return "remaining instance " + ToString(run.m_instance) + " is ejected";
    }
  }
  const size_t remaining = CountInstances(grant.m_remaining);
  if (remaining < floor) {
    return std::to_string(remaining) +
           " remaining instances are below the floor of " +
           std::to_string(floor);
  }
  return std::nullopt;
}

}  // namespace

bool ServiceEjections::IsEjected(const InstanceRun& run) const {
  const auto found = m_ejected.find(run.m_instance);
  return found != m_ejected.end() &&
         run.m_incarnation <= found->second.m_incarnation;
}

std::optional<EjectionGrant> ProposeEjection(
    RecordHeader header,
    const std::string& service,
    const InstanceRun& target,
    const std::vector<InstanceStatus>& instances,
    uint32_t floor,
    const ServiceEjections& ejections,
    std::string* reason) {
  EjectionGrant grant{.m_header = std::move(header),
                      .m_service = service,
                      .m_from = ejections.m_version,
                      .m_target = target};
  for (const InstanceStatus& status : instances) {
    const bool has_replayed =
        !ejections.m_version || status.m_next_offset > *ejections.m_version;
    if (status.m_is_working && has_replayed &&
        status.m_run.m_instance != target.m_instance &&
        !ejections.IsEjected(status.m_run)) {
      grant.m_remaining.push_back(status.m_run);
    }
  }
  auto fault = FindFault(grant, floor, ejections);
  if (fault) {
    *reason = std::move(*fault);
    return std::nullopt;
  }
  return grant;
}

std::optional<std::string> ApplyGrant(const EjectionGrant& grant,
                                      LogOffset offset,
                                      uint32_t floor,
                                      ServiceEjections& ejections) {
  auto fault = FindFault(grant, floor, ejections);
  if (fault) {
    return fault;
  }
  ejections.m_service = grant.m_service;
  ejections.m_ejected[grant.m_target.m_instance] = {
      .m_incarnation = grant.m_target.m_incarnation, .m_grant = offset};
  ejections.m_remaining = grant.m_remaining;
  ejections.m_version = offset;
  return std::nullopt;
}

std::optional<std::string> ApplyReadmission(const Readmission& readmission,
                                            LogOffset offset,
                                            ServiceEjections& ejections) {
  const auto found = ejections.m_ejected.find(readmission.m_target.m_instance);
  if (found == ejections.m_ejected.end() ||
      found->second.m_grant != readmission.m_grant) {
    return "no ejection by the grant at " +
           std::to_string(readmission.m_grant.Get()) + " stands";
  }
  ejections.m_ejected.erase(found);
  ejections.m_version = offset;
  return std::nullopt;
}

bool EnforceFloor(uint32_t floor,
                  LogOffset offset,
                  ServiceEjections& ejections) {
  if (ejections.m_ejected.empty() ||
      CountInstances(ejections.m_remaining) >= floor) {
    return false;
  }
  ejections.m_ejected.clear();
  ejections.m_remaining.clear();
  ejections.m_version = offset;
  return true;
}

std::vector<InstanceRun> SelectEnforcedEjections(
    const ServiceEjections& ejections,
    const std::vector<InstanceRun>& live,
    uint32_t floor) {
  std::vector<InstanceRun> ejected;
  for (const InstanceRun& run : live) {
    if (ejections.IsEjected(run)) {
      ejected.push_back(run);
    }
  }
  if (live.size() - ejected.size() < floor) {
    ejected.clear();
  }
  return ejected;
}

}  // namespace sequoiastage
