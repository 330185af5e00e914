/** Watches the calls that a run makes of what surrounds it, so that a test may let any of them throw. */

/** Not watched: they compute, and reach nothing that may fail. */
const unwatched = new Set(['clock', 'random', 'budget'])

/**
 * Returns the same parts, whose functions, and those of the parts' own parts, report each call.
 * @param onCall called before each function with its path; what it throws is thrown by the function.
 */
export function watchCalls<Parts extends object> (parts: Parts, onCall: (name: string) => void, path = ''): Parts {
  return new Proxy(parts, {
    get: (target, property) => {
      const value: unknown = Reflect.get(target, property)
      const name = `${path}${String(property)}`
      if (unwatched.has(name)) {
        return value
      }
      if (typeof value === 'function') {
        return (...args: unknown[]): unknown => {
          onCall(name)
          return Reflect.apply(value, target, args) as unknown
        }
      }
      return typeof value === 'object' && value !== null && !(value instanceof Promise) ? watchCalls(value, onCall, `${name}.`) : value
    }
  })
}
