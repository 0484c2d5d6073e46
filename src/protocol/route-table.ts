/**
 * Finds routes by host and path prefix. A table is built once per
 * configuration, because each request needs a lookup, which must not scan all
 * routes.
 */
import type {RouteRule} from './configuration.js';

const PORT_PATTERN = /:\d+$/;

/** The routes of one configuration. */
export class RouteTable {
  /** Maps each host, in lower case, to its rules by path prefix. */
  private readonly byHost = new Map<string, Map<string, RouteRule>>();

  constructor(rules: readonly RouteRule[]) {
    for (const rule of rules) {
      const host = rule.host.toLowerCase();
      let byPrefix = this.byHost.get(host);
      if (!byPrefix) this.byHost.set(host, (byPrefix = new Map()));
      byPrefix.set(rule.pathPrefix, rule);
    }
  }

  /**
   * Finds the route with the longest prefix that matches a path; returns
   * undefined if there is none.
   *
   * @param host value of the Host header, with or without a port.
   * @param target path of the request, with or without a query.
   */
  find(host: string, target: string): RouteRule | undefined {
    const byPrefix = this.byHost.get(
      host.replace(PORT_PATTERN, '').toLowerCase(),
    );
    if (!byPrefix) return undefined;
    const queryAt = target.indexOf('?');
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const rule = byPrefix.get(path.slice(0, end + 1));
      if (rule) return rule;
      if (end === 0) return undefined;
      end = path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}
