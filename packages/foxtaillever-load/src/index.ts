/** Public surface of the load tool. */
export * from './deployment/embeddedDeployment.js'
export * from './deployment/shape.js'
export * from './workload/createArrivals.js'
export * from './workload/runArrivals.js'
export * from './workload/sendRequest.js'
export * from './workload/summarize.js'
