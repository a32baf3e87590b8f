#include "json_output.h"

namespace cranberryshunt::entry {

namespace {

json_t* ResourcesToJson(const wire::Resources& resources) {
  JsonObject out;
  out.Set("milli_cpus", resources.milli_cpus)
      .Set("memory_bytes", resources.memory_bytes)
      .Set("accelerators", resources.accelerators)
      .Set("slots", resources.slots);
  return out.NewReference();
}

json_t* StringToJson(const std::string& text) {
  return json_stringn(text.data(), text.size());
}

json_t* WorkerToJson(const wire::WorkerStats& stats) {
  const wire::Worker& worker = stats.worker;
  JsonObject out;
  out.Set("identity", worker.identity)
      .Set("incarnation", worker.incarnation)
      .Set("address", worker.address)
      .Set("region", worker.region)
      .Set("availability_zone", worker.availability_zone)
      .Set("rack", worker.rack)
      .Set("capacity", ResourcesToJson(worker.capacity))
      .Set("connections", worker.connections)
      .Set("leaving", worker.leaving)
      .Set("draining", worker.draining)
      .Set("reserved", ResourcesToJson(stats.reserved))
      .Set("live", stats.live)
      .Set("quarantined", stats.quarantined)
      .Set("reason", stats.reason);
  return out.NewReference();
}

json_t* KindToJson(const wire::KindStats& kind) {
  JsonObject out;
  out.Set("kind", KindName(kind.kind))
      .Set("queued", kind.queued)
      .Set("running", kind.running)
      .Set("wait_p50_ms", kind.wait_p50_ms)
      .Set("wait_p99_ms", kind.wait_p99_ms)
      .Set("share", kind.share)
      .Set("refused", kind.refused)
      .Set("preempted", kind.preempted)
      .Set("preempted_run_ms", kind.preempted_run_ms);
  return out.NewReference();
}

json_t* AlertToJson(const wire::Alert& alert) {
  JsonObject out;
  out.Set("name", alert.name)
      .Set("metric", alert.metric)
      .Set("value", alert.value)
      .Set("threshold", alert.threshold)
      .Set("firing_since_ms", alert.firing_since_ms);
  return out.NewReference();
}

}  // namespace

json_t* AlertsToJson(const std::vector<wire::Alert>& alerts) {
  return JsonArray(alerts, AlertToJson);
}

std::string RenderCluster(const wire::ClusterReply& cluster) {
  JsonObject bytes;
  for (const auto& [pair, count] : cluster.bytes_between_regions) {
    bytes.Set(pair.c_str(), count);
  }
  JsonObject out;
  out.Set("leader_id", cluster.leader_id)
      .Set("term", cluster.term)
      .Set("commit_index", cluster.commit_index)
      .Set("voters", JsonArray(cluster.voters, StringToJson))
      .Set("learners", JsonArray(cluster.learners, StringToJson))
      .Set("entries", JsonArray(cluster.entries, StringToJson))
      .Set("workers", JsonArray(cluster.workers, WorkerToJson))
      .Set("kinds", JsonArray(cluster.kinds, KindToJson))
      .Set("packing", cluster.packing)
      .Set("alerts", AlertsToJson(cluster.alerts))
      .Set("bytes_between_regions", bytes.NewReference())
      .Set("rules_revision", cluster.rules_revision)
      .Set("culprits", JsonArray(cluster.culprits, StringToJson));
  return out.Render();
}

}  // namespace cranberryshunt::entry
